package direct_test

import (
	"testing"
	"time"
)

// TestFlowOpenedElsewhereAfterOwnCopy guards against a flow that stays at an upstream where it is not open: another instance has opened it, this one has sent a
// late copy of its SYN to another upstream, and the first packet that comes here has the tag of that one's answer. The other upstream does not reset the flow at
// it: the packet, or its reset, is lost.
func TestFlowOpenedElsewhereAfterOwnCopy(t *testing.T) {
	h := newHarness(t, threeUpstreams()...)
	own := h.send(syn1(0, 1)).Upstream
	opened := h.other(own)
	h.now = h.now.Add(300 * time.Millisecond)
	seg := packet(own.Tag, 101)
	seg.AckSeq = 900
	h.send(seg)
	// The upstream of the flow goes on to answer; the caller echoes its tag again.
	for n := range uint32(5) {
		h.now = h.now.Add(200 * time.Millisecond)
		seg := packet(opened.Tag, 101)
		seg.AckSeq = 1800 + 900*n
		h.Equal(h.send(seg).Upstream.ID, opened.ID)
	}
}
