package gauge

import "encoding/binary"

const (
	// packedSize is the size of a packed report in bytes.
	packedSize = 2
	// MaxPacked is the highest packed number of requests; higher ones are packed as this one. The next number stands for an unknown load.
	MaxPacked     = 65_534
	packedUnknown = 65_535
)

// Packed is what a packed report states.
type Packed struct {
	// Sum is the number of requests that run or wait, at most MaxPacked; zero if it is unknown.
	Sum   int
	Known bool
}

// Pack encodes the reports of a list of upstreams in its order, two bytes each, big-endian: the sum of running and queued requests. The load in an invalid
// report is unknown.
func Pack(reports []Report) []byte {
	out := make([]byte, 0, packedSize*len(reports))
	for _, r := range reports {
		value := packedUnknown
		if r.Valid() {
			value = min(r.Running+r.Queued, MaxPacked)
		}
		out = binary.BigEndian.AppendUint16(out, uint16(value))
	}
	return out
}

// Unpack decodes what Pack has encoded; ok is false if the length is odd.
func Unpack(packed []byte) (list []Packed, ok bool) {
	if len(packed)%packedSize != 0 {
		return nil, false
	}
	list = make([]Packed, 0, len(packed)/packedSize)
	for ; len(packed) > 0; packed = packed[packedSize:] {
		p := Packed{}
		if value := binary.BigEndian.Uint16(packed); value != packedUnknown {
			p = Packed{Sum: int(value), Known: true}
		}
		list = append(list, p)
	}
	return list, true
}
