package share

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthorncourse/internal/core/model"
	"hawthorncourse/internal/load/gauge"
)

const (
	// loadAgeUnit is the resolution of NextReply.LoadAges. 254 units exceed gauge.MaxAge.
	loadAgeUnit = 16 * time.Millisecond
	// noLoad in NextReply.LoadAges means that there is nothing to tell of an upstream.
	noLoad = 255
	// sameLoad is the difference in age up to which two loads of an upstream count as the same one: a reply adds the time that it was under way, which
	// varies. Upstreams are asked at most every 250 ms.
	sameLoad = 100 * time.Millisecond
	// urgentWait is the longest wait of a poll of the lead reader while loads are urgent: the interval at which they are published then.
	urgentWait = 250 * time.Millisecond
	// wakeInterval is the least time between two answers to waiting polls because of loads. It is below urgentWait, so that a publication that is a
	// little early is not left out.
	wakeInterval = 200 * time.Millisecond
	// urgentHold is how long loads count as urgent after the last urgent report. It exceeds the interval of publications.
	urgentHold = time.Second
	// loadBytes is the encoded size of the load of an upstream, and loadBytesPerSecond the traffic that loads may cause at an instance that polls: half
	// of the 10 KB/s of control traffic that an instance may have.
	loadBytes, loadBytesPerSecond = 3, 5000
	// maxLoadUpstreams is the number of upstreams above which no loads are sent, as one reply a second would exceed loadBytesPerSecond.
	maxLoadUpstreams = loadBytesPerSecond / loadBytes
	// evictInterval is the least time between two evictions of loads: they go through all entries.
	evictInterval = time.Second
	// callerTTL is how long a caller is kept after loads were last attached to a reply to it, and maxCallers how many are: more than the 3,100 instances
	// that the design is for.
	callerTTL, maxCallers = time.Minute, 4096
	// maxOrders is the number of snapshots whose upstreams are kept in order. The readers of other failure domains are one or two snapshots behind.
	maxOrders = 8
)

// loadTable holds the known loads of upstreams. It is guarded by Share.mu.
type loadTable struct {
	// entries holds the latest load of each upstream. Until the next eviction, it also holds loads that are too old and those of runs that are not listed.
	entries map[model.UpstreamID]loadEntry
	// evictedAt is the time of the last eviction.
	evictedAt time.Time
	// changes counts the changes of entries.
	changes uint64
	// orders holds the upstreams of the last snapshots, the latest last; at most maxOrders.
	orders []*loadOrder
	// packed caches the encoded entries.
	packed packedLoads
	// urgentUntil is until when loads are urgent, and wokenAt is when loads last answered waiting polls.
	urgentUntil, wokenAt time.Time
	// start is the origin of the stamps in replies.
	start time.Time
	// stamps holds the stamp of the reply of the lead reader that was last polled.
	stamps map[netip.AddrPort]loadStamp
	// sentAt is when loads were last added to the arguments of a poll.
	sentAt time.Time
	// callers holds when loads were last attached to a reply to a caller, by the hash of its name; at most maxCallers.
	callers map[uint64]time.Time
}

// loadEntry is the load of one run of an upstream.
type loadEntry struct {
	boot  model.BootID
	work  int
	known bool
	// at is when the upstream stated its load, never later than it did.
	at time.Time
}

// loadOrder lists the upstreams of one snapshot in the order in which their loads are packed.
type loadOrder struct {
	digest uint64
	// at is the state of the store that the snapshot shows.
	at   model.Position
	runs []loadRun
}

// loadRun is a run of an upstream.
type loadRun struct {
	id   model.UpstreamID
	boot model.BootID
}

// packedLoads is the encoded form of the entries for the upstreams of one snapshot.
type packedLoads struct {
	digest, changes uint64
	loads, ages     []byte
	// youngest is the time of the youngest entry; zero if there is none.
	youngest time.Time
}

// loadStamp is the stamp of a reply and the time of its arrival.
type loadStamp struct {
	stamp   int64
	arrived time.Time
}

func newLoadTable() loadTable {
	return loadTable{entries: map[model.UpstreamID]loadEntry{}, start: time.Now(), stamps: map[netip.AddrPort]loadStamp{}, callers: map[uint64]time.Time{}}
}

// PublishLoads makes loads known to the instances that poll this one. Urgent loads answer the polls that wait; others are sent with the next reply.
// Loads of a snapshot other than the last published ones are dropped, as are those of runs that it does not list.
func (s *Share) PublishLoads(loads model.LoadReport) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	order, ok := s.orderOf(loads.Digest)
	if !ok {
		s.dropLoads()
		return
	}
	s.evictLoads(now)
	current := s.currentOrder(order)
	for _, l := range loads.Loads {
		at := now.Add(-l.Age)
		old, ok := s.loads.entries[l.ID]
		if current.has(l.ID, l.Boot) && order.has(l.ID, l.Boot) && (!ok || old.boot < l.Boot || (old.boot == l.Boot && at.After(old.at))) {
			s.loads.set(l.ID, loadEntry{boot: l.Boot, work: l.Work, known: l.Known, at: at})
		}
	}
	if loads.Urgent {
		s.markLoadsUrgent(now)
	}
}

// loadInterval returns the least time between two transmissions of the loads to or from an instance: wakeInterval, or the time in which
// loadBytesPerSecond allow one if that is longer. s.mu must be held.
func (s *Share) loadInterval() time.Duration {
	return max(wakeInterval, time.Duration(len(s.latest.Upstreams.Items))*loadBytes*time.Second/loadBytesPerSecond)
}

// markLoadsUrgent answers the polls that wait, unless loads have done so within loadInterval; s.mu must be held.
func (s *Share) markLoadsUrgent(now time.Time) {
	s.loads.urgentUntil = now.Add(urgentHold)
	if now.Sub(s.loads.wokenAt) >= s.loadInterval() {
		s.loads.wokenAt = now
		s.notifyWaiters()
	}
}

// dropLoads counts loads that cannot be used.
func (s *Share) dropLoads() {
	s.cfg.Counts.Counter("share.loads_dropped").Inc(1)
}

// addLoads adds the known loads to the arguments of a poll of the lead reader, at most once in loadInterval. While loads are urgent, the poll does not wait
// for long.
func (s *Share) addLoads(args *NextArgs, peer netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if args.LoadUrgent = now.Before(s.loads.urgentUntil); args.LoadUrgent {
		args.Wait = min(args.Wait, int64(max(urgentWait, s.loadInterval())))
	}
	last, dated := s.loads.stamps[peer]
	if !dated || now.Sub(s.loads.sentAt) < s.loadInterval() {
		return
	}
	if packed := s.packLoads(now); len(packed.loads) > 0 {
		s.loads.sentAt = now
		args.Loads, args.LoadsOf, args.LoadAge, args.LoadAges = packed.loads, s.digest, int64(now.Sub(packed.youngest)), packed.ages
		args.LoadStamp, args.LoadSince = last.stamp, int64(now.Sub(last.arrived))
	}
}

// recordLoadStamp records the stamp in the reply of the lead reader. There is none after a failed poll.
func (s *Share) recordLoadStamp(peer netip.AddrPort, reply *NextReply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.loads.stamps)
	if err == nil && reply.LoadStamp != 0 {
		s.loads.stamps[peer] = loadStamp{stamp: reply.LoadStamp, arrived: time.Now()}
	}
}

// fillLoads adds the known loads to a reply, at most once in loadInterval for each caller, and a stamp to that to the reader of another failure domain.
// Polls are also answered because of suspicions and new snapshots, which may be more frequent. s.mu must be held.
func (s *Share) fillLoads(now time.Time, args *NextArgs, reply *NextReply) {
	if args.Readers {
		reply.LoadStamp = max(int64(now.Sub(s.loads.start)), 1)
	}
	caller := xxhash.Sum64String(args.From)
	if last, ok := s.loads.callers[caller]; ok && now.Sub(last) < s.loadInterval() {
		return
	}
	if packed := s.packLoads(now); len(packed.loads) > 0 {
		reply.Loads, reply.LoadsOf, reply.LoadAge, reply.LoadAges = packed.loads, s.digest, max(int64(now.Sub(packed.youngest)), 0), packed.ages
		s.loads.recordCaller(now, caller)
	}
}

// recordCaller records that loads were attached to a reply to a caller. If there are too many callers, all are forgotten, so that some get loads sooner.
func (t *loadTable) recordCaller(now time.Time, caller uint64) {
	if _, ok := t.callers[caller]; !ok && len(t.callers) >= maxCallers {
		clear(t.callers)
	}
	t.callers[caller] = now
}

// mergeSentLoads takes over the loads in the arguments of a poll. The time that they were under way is the time since the stamped reply was written, by
// the clock of this instance, less the time that the caller had that reply, by its own clock.
func (s *Share) mergeSentLoads(args *NextArgs) {
	if len(args.Loads) == 0 || !args.Readers {
		return
	}
	now := time.Now()
	s.mu.Lock()
	sinceReply := int64(now.Sub(s.loads.start)) - args.LoadStamp
	order, ok := s.orderOf(args.LoadsOf)
	var merged model.LoadReport
	if ok && args.LoadStamp > 0 && args.LoadSince >= 0 && sinceReply >= args.LoadSince {
		merged = s.mergeLoads(now, order, args.Loads, args.LoadAges, addAge(args.LoadAge, sinceReply-args.LoadSince))
	} else {
		s.dropLoads()
	}
	if merged.Urgent = args.LoadUrgent; merged.Urgent && len(merged.Loads) > 0 {
		s.markLoadsUrgent(now)
	}
	s.mu.Unlock()
	s.passOnLoads(merged)
}

// receiveLoads takes over the loads in a reply; snap is the snapshot with the changes in the reply, and digest its digest.
func (s *Share) receiveLoads(snap *model.Snapshot, digest uint64, reply *NextReply) {
	s.mu.Lock()
	var merged model.LoadReport
	if order, ok := s.orderFor(snap, digest); ok && reply.LoadsOf == digest {
		merged = s.mergeLoads(time.Now(), order, reply.Loads, reply.LoadAges, reply.LoadAge)
	} else {
		s.dropLoads()
	}
	s.mu.Unlock()
	s.passOnLoads(merged)
}

// passOnLoads calls OnLoads if there are any.
func (s *Share) passOnLoads(loads model.LoadReport) {
	if s.cfg.OnLoads != nil && len(loads.Loads) > 0 {
		s.cfg.OnLoads(loads)
	}
}

// mergeLoads takes over those of the packed loads that are newer than the known ones, and returns them; age is that of the youngest. s.mu must be held.
func (s *Share) mergeLoads(now time.Time, order *loadOrder, packed, ages []byte, age int64) (merged model.LoadReport) {
	list, ok := gauge.Unpack(packed)
	if !ok || len(list) != len(order.runs) || (len(ages) > 0 && len(ages) != len(list)) || age < 0 {
		s.dropLoads()
		return merged
	}
	merged.Digest = order.digest
	s.evictLoads(now)
	current := s.currentOrder(order)
	for i, load := range list {
		loadAge, stated := time.Duration(age), load.Known
		if len(ages) > 0 {
			loadAge, stated = time.Duration(addAge(age, int64(ages[i])*int64(loadAgeUnit))), ages[i] != noLoad
		}
		run := order.runs[i]
		if !stated || !current.has(run.id, run.boot) || !s.loads.merge(now, run, loadAge, load) {
			continue
		}
		merged.Loads = append(merged.Loads, model.UpstreamLoad{ID: run.id, Boot: run.boot, Work: load.Sum, Known: load.Known, Age: loadAge})
	}
	return merged
}

// merge takes over a load unless it is too old, not newer than the known one, or of an earlier run than that. It reports whether it did.
func (t *loadTable) merge(now time.Time, run loadRun, age time.Duration, load gauge.Packed) bool {
	at := now.Add(-age)
	old, ok := t.entries[run.id]
	if age >= gauge.MaxAge || (ok && (old.boot > run.boot || (old.boot == run.boot && at.Sub(old.at) <= sameLoad))) {
		return false
	}
	t.set(run.id, loadEntry{boot: run.boot, work: load.Sum, known: load.Known, at: at})
	return true
}

// set replaces the load of an upstream.
func (t *loadTable) set(id model.UpstreamID, e loadEntry) {
	t.entries[id] = e
	t.changes++
}

// packLoads returns the known loads of the upstreams of the latest snapshot, encoded; there are none if all are too old. s.mu must be held.
func (s *Share) packLoads(now time.Time) *packedLoads {
	t := &s.loads
	s.evictLoads(now)
	if t.packed.digest != s.digest || t.packed.changes != t.changes {
		t.packed = packedLoads{digest: s.digest, changes: t.changes}
		if order, ok := s.orderFor(&s.latest, s.digest); ok && len(t.entries) > 0 {
			t.packed.loads, t.packed.ages, t.packed.youngest = t.pack(order)
		}
	}
	if now.Sub(t.packed.youngest) >= gauge.MaxAge {
		return &packedLoads{}
	}
	return &t.packed
}

// evictLoads evicts the loads that are too old and those of runs that the latest snapshot does not list, at most once in evictInterval, and forgets the
// callers that have not polled for callerTTL. It must come before new loads are stored, as they may be of a snapshot that is published only after that.
// s.mu must be held.
func (s *Share) evictLoads(now time.Time) {
	t := &s.loads
	if now.Sub(t.evictedAt) < evictInterval {
		return
	}
	t.evictedAt = now
	order, listed := s.orderFor(&s.latest, s.digest)
	for id, e := range t.entries {
		if now.Sub(e.at) >= gauge.MaxAge || (listed && !order.has(id, e.boot)) {
			delete(t.entries, id)
			t.changes++
		}
	}
	for caller, last := range t.callers {
		if now.Sub(last) >= callerTTL {
			delete(t.callers, caller)
		}
	}
}

// currentOrder returns the order of the snapshot that decides which runs are current: the latest one, or that of received loads if it is of a later state
// of the store, as it is published only after its loads are received. s.mu must be held.
func (s *Share) currentOrder(received *loadOrder) *loadOrder {
	latest, ok := s.orderFor(&s.latest, s.digest)
	if !ok || received.at.Compare(s.latest.At()) > 0 {
		return received
	}
	return latest
}

// pack encodes the entries for the upstreams of a snapshot; loads is empty if there are none.
func (t *loadTable) pack(order *loadOrder) (loads, ages []byte, youngest time.Time) {
	reports := make([]gauge.Report, len(order.runs))
	ages = make([]byte, len(order.runs))
	for _, run := range order.runs {
		if e, ok := t.entries[run.id]; ok && e.boot == run.boot && e.at.After(youngest) {
			youngest = e.at
		}
	}
	for i, run := range order.runs {
		e, ok := t.entries[run.id]
		if !ok || e.boot != run.boot {
			ages[i] = noLoad
			continue
		}
		if e.known {
			reports[i] = gauge.Report{Running: e.work, Slots: 1}
		}
		units := (youngest.Sub(e.at) + loadAgeUnit - 1) / loadAgeUnit
		ages[i] = byte(min(units, noLoad-1))
	}
	if youngest.IsZero() {
		return nil, nil, youngest
	}
	return gauge.Pack(reports), ages, youngest
}

// orderOf returns the order of the upstreams of a recent snapshot, given its digest; s.mu must be held.
func (s *Share) orderOf(digest uint64) (order *loadOrder, ok bool) {
	for _, order := range s.loads.orders {
		if order.digest == digest {
			return order, true
		}
	}
	if digest == 0 || digest != s.digest {
		return nil, false
	}
	return s.orderFor(&s.latest, digest)
}

// orderFor returns the order of the upstreams of a snapshot, given its digest; ok is false if there are too many of them. s.mu must be held.
func (s *Share) orderFor(snap *model.Snapshot, digest uint64) (order *loadOrder, ok bool) {
	if len(snap.Upstreams.Items) > maxLoadUpstreams || digest == 0 {
		return nil, false
	}
	t := &s.loads
	for _, order := range t.orders {
		if order.digest == digest {
			return order, true
		}
	}
	added := &loadOrder{digest: digest, at: snap.At(), runs: make([]loadRun, 0, len(snap.Upstreams.Items))}
	for i := range snap.Upstreams.Items {
		added.runs = append(added.runs, loadRun{id: snap.Upstreams.Items[i].ID, boot: snap.Upstreams.Items[i].Boot})
	}
	slices.SortFunc(added.runs, func(a, b loadRun) int { return cmp.Compare(a.id, b.id) })
	t.orders = append(t.orders, added)
	if len(t.orders) > maxOrders {
		t.orders = slices.Delete(t.orders, 0, len(t.orders)-maxOrders)
	}
	return added, true
}

// has reports whether the snapshot lists a run of an upstream.
func (o *loadOrder) has(id model.UpstreamID, boot model.BootID) bool {
	i, ok := slices.BinarySearchFunc(o.runs, id, func(r loadRun, id model.UpstreamID) int { return cmp.Compare(r.id, id) })
	return ok && o.runs[i].boot == boot
}

// addAge returns the sum of an age and a time that is not negative, both in nanoseconds. It is the longest possible age if the sum exceeds that; a
// negative age, which is invalid, stays as it is.
func addAge(age, more int64) int64 {
	switch {
	case age < 0:
		return age
	case age > math.MaxInt64-more:
		return math.MaxInt64
	default:
		return age + more
	}
}
