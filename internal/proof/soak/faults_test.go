package soak

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"hawthorncourse/internal/stand/stage"
	"hawthorncourse/platform/stand"
)

const (
	// lapseAfter is when the entry of an upstream that says nothing goes.
	lapseAfter = 3600 * time.Millisecond
	// reuseAfter is the least time from an upstream's end to the next use of its address.
	reuseAfter = 2 * time.Second
	// returnBy is when entries that lapsed during an outage are back.
	returnBy = 2 * time.Second
	// lossShare is the part of packets that a lossy network loses.
	lossShare = 0.1
	// slowFactor is how much longer the requests of a slow upstream take.
	slowFactor = 5
	// startUp is how long a process may take on a busy machine until its program runs; before, the system itself ends it at any signal.
	startUp     = 500 * time.Millisecond
	killsAtOnce = 4
	stormSize   = 10
)

var outages = []stand.Outage{stand.OutageUnavailable, stand.OutageRateLimited, stand.OutageHang, stand.OutageReset}

// revive starts a process that has ended.
func (s *script) revive(p *stage.Process) {
	if err := p.Start(); err != nil {
		s.violate("%v", err)
	}
}

func (s *script) kill(d draw) {
	s.killOne(s.process(d.process), d.short)
}

func (s *script) killOne(p *stage.Process, dark time.Duration) {
	s.lives[p].Lock()
	defer s.lives[p].Unlock()
	defer s.ledger.harm(p.Settings.Name)()
	s.note("%s is killed for %s", p.Settings.Name, dark)
	p.Kill()
	time.Sleep(dark)
	s.revive(p)
}

// killSome kills several at once, or all of one failure domain.
func (s *script) killSome(d draw) {
	done := make(chan struct{})
	n := 0
	for i, p := range s.Processes {
		if (d.coin && p.Settings.Domain == d.domain) || (!d.coin && (i+d.process)%len(s.Processes) < killsAtOnce) {
			n++
			go func() {
				s.killOne(p, d.short)
				done <- struct{}{}
			}()
		}
	}
	for range n {
		<-done
	}
}

func (s *script) stop(d draw) {
	p := s.process(d.process)
	s.lives[p].Lock()
	defer s.lives[p].Unlock()
	name, began, young := p.Settings.Name, time.Now(), p.Uptime() < startUp
	defer s.ledger.harm(name)()
	s.note("%s stops", name)
	code, err := p.Stop(stopBy)
	if held := !s.ledger.calm("pause "+name, began, time.Now()); !young && !held && (err != nil || code != 0) {
		s.violate("the planned stop of %s ends with code %d, %v", name, code, err)
	}
	if err != nil {
		p.Kill()
	}
	time.Sleep(d.short)
	s.revive(p)
}

func (s *script) pause(d draw) {
	p := s.process(d.process)
	name := p.Settings.Name
	defer s.ledger.harm(name, "pause "+name)()
	s.note("%s stands still for %s", name, d.long/2)
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d.long / 2)
	p.Signal(syscall.SIGCONT)
}

// reload changes a settings file, with a signal or without.
func (s *script) reload(d draw) {
	p := s.process(d.process)
	s.lives[p].Lock()
	defer s.lives[p].Unlock()
	p.Settings.Seeds = append(p.Settings.Seeds[1:], s.process(d.other).Settings.Control)
	if err := p.WriteSettings(); err != nil {
		s.violate("%v", err)
	}
	if d.coin && p.Uptime() > startUp {
		p.Signal(syscall.SIGHUP)
	}
}

// cut separates two groups of parties for a time; the store is on no side. Every party is harmed.
func (s *script) cut(inside func(domain, name string) bool, d time.Duration) {
	var parties []string
	var pairs [][2]string
	members := map[string]bool{}
	for _, p := range s.Processes {
		members[p.Settings.Name] = inside(p.Settings.Domain, p.Settings.Name)
	}
	for _, u := range s.Upstreams() {
		members[u.Name()] = inside(u.Domain(), "")
	}
	for a, x := range members {
		parties = append(parties, a)
		for b, y := range members {
			if x != y {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	defer s.ledger.harm(parties...)()
	for _, pair := range pairs {
		s.links.block(pair[0], pair[1])
	}
	s.sever()
	time.Sleep(d)
	for _, pair := range pairs {
		s.links.unblock(pair[0], pair[1])
	}
	s.sever()
}

// sever tells every upstream whom it cannot hear.
func (s *script) sever() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.Upstreams() {
		var from []netip.Addr
		for _, p := range s.Processes {
			if s.links.Blocked(p.Settings.Name, u.Name()) {
				from = append(from, p.Settings.Packets.Addr())
			}
		}
		if err := u.Partition(from...); err != nil {
			s.violate("%v", err)
		}
	}
}

// cutDomain cuts a failure domain from the others, and from the store or not.
func (s *script) cutDomain(d draw) {
	s.note("%s is cut off for %s, from the store too: %v", d.domain, d.long, d.coin)
	if d.coin {
		for _, p := range s.Processes {
			if p.Settings.Domain == d.domain {
				p.StoreProxy.SetOutage(stand.OutageHang)
				defer p.StoreProxy.SetOutage(stand.OutageNone)
			}
		}
	}
	s.cut(func(domain, _ string) bool { return domain == d.domain }, d.long)
}

func (s *script) cutInstance(d draw) {
	p := s.process(d.process)
	s.note("%s is cut off for %s, from the store too: %v", p.Settings.Name, d.long, d.coin)
	if d.coin {
		p.StoreProxy.SetOutage(stand.OutageHang)
		defer p.StoreProxy.SetOutage(stand.OutageNone)
	}
	s.cut(func(_, name string) bool { return name == p.Settings.Name }, d.long)
}

// cutOneWay lets nothing from one instance reach another.
func (s *script) cutOneWay(d draw) {
	a, b := s.process(d.process).Settings.Name, s.process(d.other).Settings.Name
	defer s.ledger.harm(a, b)()
	s.note("nothing of %s reaches %s for %s", a, b, d.long)
	s.links.block(a, b)
	time.Sleep(d.long)
	s.links.unblock(a, b)
}

func (s *script) delayLinks(d draw) {
	a, b := s.process(d.process).Settings.Name, s.process(d.other).Settings.Name
	defer s.ledger.harm(a, b)()
	s.note("bytes of %s reach %s %s late for %s", a, b, d.short, d.long)
	s.links.setDelay(a, b, d.short)
	time.Sleep(d.long)
	s.links.setDelay(a, b, 0)
}

func (s *script) resetLinks(d draw) {
	p := s.process(d.process)
	defer s.ledger.harm(p.Settings.Name)()
	s.ResetConnections(p.Index)
}

// lossy loses a share of all packets from callers.
func (s *script) lossy(d draw) {
	defer s.ledger.harm(s.names()...)()
	s.SetPacketLoss(lossShare)
	time.Sleep(d.long)
	s.SetPacketLoss(0)
}

func (s *script) names() (list []string) {
	for _, p := range s.Processes {
		list = append(list, p.Settings.Name)
	}
	return list
}

func (s *script) doorDown(d draw) {
	p := s.process(d.process)
	defer s.ledger.harm(p.Settings.Name)()
	s.note("the store does not serve %s for %s, variant %d", p.Settings.Name, d.long, d.many%len(outages))
	p.StoreProxy.SetOutage(outages[d.many%len(outages)])
	time.Sleep(d.long)
	p.StoreProxy.SetOutage(stand.OutageNone)
}

func (s *script) doorMute(d draw) {
	p := s.process(d.process)
	defer s.ledger.harm(p.Settings.Name)()
	s.note("connections of %s to the store go silent", p.Settings.Name)
	p.StoreProxy.StallConnections()
}

func (s *script) doorSlow(d draw) {
	p := s.process(d.process)
	defer s.ledger.harm(p.Settings.Name)()
	s.note("the store is %s slow for %s", d.short, p.Settings.Name)
	p.StoreProxy.SetDelay(d.short)
	time.Sleep(d.long)
	p.StoreProxy.SetDelay(0)
}

func (s *script) storeDown(d draw) {
	defer s.ledger.harm(theStore)()
	s.note("the store is down for %s, variant %d", d.long, d.many%len(outages))
	s.Store.SetOutage(outages[d.many%len(outages)])
	time.Sleep(d.long)
	s.Store.SetOutage(stand.OutageNone)
}

// storeLapses takes the store away until entries of upstreams that live have gone; they are back soon after it.
func (s *script) storeLapses(d draw) {
	end := s.ledger.harm(theStore)
	s.Store.SetOutage(outages[d.many%len(outages)])
	time.Sleep(d.long)
	var gone []*stand.Upstream
	for n, u := range s.Upstreams() {
		if (n+d.upstream)%3 > 0 && s.hold(u) {
			u.ExpireEntry()
			gone = append(gone, u)
		}
	}
	s.note("%d entries lapse during an outage of %s", len(gone), d.long)
	s.Store.SetOutage(stand.OutageNone)
	end()
	for _, u := range gone {
		time.Sleep(returnBy / time.Duration(len(gone)+1))
		u.Register()
		s.release(u)
	}
}

// hold marks an upstream that nothing was decided for yet; it reports false for others.
func (s *script) hold(u *stand.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fated[u] {
		return false
	}
	s.fated[u] = true
	return true
}

func (s *script) storeSlow(d draw) {
	defer s.ledger.harm(theStore)()
	s.note("the store is %s slow", d.short)
	s.Store.SetDelay(d.short)
	time.Sleep(d.long)
	s.Store.SetDelay(0)
}

func (s *script) answersLost(d draw) {
	defer s.ledger.harm(theStore)()
	s.Store.DropResponses(1 + d.many%3)
	s.killOne(s.process(d.process), d.short)
	s.Store.DropResponses(0)
}

// historyGone lets the store keep changes to itself for a while and then forget them.
func (s *script) historyGone(d draw) {
	defer s.ledger.harm(theStore)()
	s.Store.StallWatches(true)
	time.Sleep(d.short)
	s.Store.DropHistory()
	s.Store.StallWatches(false)
}

// says keeps when the store has acknowledged that an upstream leaves.
func (s *script) says(u *stand.Upstream) {
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	s.facts.draining[u.Name()] = time.Now()
}

// drain lets an upstream leave as planned, and another come.
func (s *script) drain(d draw) {
	u := s.take(d.upstream)
	if u == nil {
		return
	}
	s.note("%s drains", u.Name())
	s.add(u.Service(), u.Domain(), netip.AddrPort{})
	u.Drain()
	s.says(u)
	time.Sleep(drainBy + d.long/2)
	defer s.ledger.harm(u.Name())()
	s.note("%s leaves", u.Name())
	u.Shutdown()
}

// drainAndKill lets upstreams leave while instances of their domain are killed.
func (s *script) drainAndKill(d draw) {
	s.wg.Go(func() { s.drain(d) })
	s.killSome(d)
}

// crash ends an upstream without a word; it starts again under its name, or its entry lapses.
func (s *script) crash(d draw) {
	u := s.take(d.upstream)
	if u == nil {
		return
	}
	end := s.ledger.harm(u.Name())
	s.note("%s crashes; it starts again: %v", u.Name(), d.coin)
	u.Close()
	if !d.coin {
		time.Sleep(lapseAfter)
		u.ExpireEntry()
		s.says(u)
		s.add(u.Service(), u.Domain(), netip.AddrPort{})
		return
	}
	time.Sleep(d.short)
	if err := u.Start(); err != nil {
		s.violate("%v", err)
	}
	end()
	s.release(u)
}

// replace ends an upstream, planned or not, and gives its address to one of the other service.
func (s *script) replace(d draw) {
	u := s.take(d.upstream)
	if u == nil {
		return
	}
	if d.coin {
		u.Drain()
		s.says(u)
		time.Sleep(drainBy + d.short)
	}
	s.ledger.harm(u.Name())
	s.note("%s ends, and its address goes to another service; planned: %v", u.Name(), d.coin)
	u.Close()
	if d.coin {
		u.ExpireEntry()
	}
	s.add(u.Service(), u.Domain(), netip.AddrPort{})
	time.Sleep(reuseAfter + d.short)
	other := "claims"
	if u.Service() == other {
		other = "desk"
	}
	s.add(other, u.Domain(), u.Address())
	if !d.coin {
		time.Sleep(lapseAfter - reuseAfter)
		u.ExpireEntry()
		s.says(u)
	}
}

func (s *script) silent(d draw) {
	u := s.take(d.upstream)
	if u == nil {
		return
	}
	defer s.release(u)
	defer s.ledger.harm(u.Name())()
	s.note("%s is silent for %s", u.Name(), d.long/2)
	if err := u.SetUnresponsive(true); err != nil {
		s.violate("%v", err)
	}
	time.Sleep(d.long / 2)
	if err := u.SetUnresponsive(false); err != nil {
		s.violate("%v", err)
	}
}

func (s *script) slow(d draw) {
	u := s.take(d.upstream)
	if u == nil {
		return
	}
	defer s.release(u)
	defer s.ledger.harm(u.Name())()
	u.SetSlowdown(slowFactor)
	time.Sleep(d.long)
	u.SetSlowdown(1)
}

func (s *script) scaleOut(d draw) {
	service := "desk"
	if d.coin {
		service = "claims"
	}
	s.add(service, d.domain, netip.AddrPort{})
}

// changeRoutes adds a route and removes it some time later.
func (s *script) changeRoutes(d draw) {
	at := s.addRoute()
	time.Sleep(applyBy + d.long)
	s.removeRoute(at)
}

func (s *script) addRoute() netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made++
	r := stand.Route{
		Name: fmt.Sprintf("extra-%d", s.made), Service: "desk",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1 + byte(s.made>>8), byte(s.made)}), 443),
	}
	s.extra = append(s.extra, r)
	at := s.configure()
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	s.facts.added[r.Address] = at
	return r.Address
}

func (s *script) removeRoute(address netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, r := range s.extra {
		if r.Address == address {
			s.extra = append(s.extra[:n:n], s.extra[n+1:]...)
			break
		}
	}
	at := s.configure()
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	s.facts.removed[address] = at
}

func (s *script) storm(d draw) {
	var made []netip.AddrPort
	for range stormSize {
		made = append(made, s.addRoute())
		time.Sleep(d.short / stormSize)
	}
	time.Sleep(d.long)
	for _, at := range made {
		s.removeRoute(at)
	}
}

// evacuate takes a failure domain out and back, unless one is out.
func (s *script) evacuate(d draw) {
	s.run.mu.Lock()
	for _, list := range s.facts.out {
		if list[len(list)-1].to.IsZero() {
			s.run.mu.Unlock()
			return
		}
	}
	s.Store.EvacuateDomain(d.domain)
	out := &span{from: time.Now()}
	s.facts.out[d.domain] = append(s.facts.out[d.domain], out)
	s.run.mu.Unlock()
	s.note("%s is taken out", d.domain)
	time.Sleep(evacuateBy + d.long/2)
	s.run.mu.Lock()
	defer s.run.mu.Unlock()
	out.to = time.Now()
	s.Store.RestoreDomain(d.domain)
}

// unreadable puts entries into the registry that nobody understands.
func (s *script) unreadable(d draw) {
	s.Store.CorruptUpstreams()
	time.Sleep(d.long)
	s.Store.RemoveCorruptUpstreams()
}
