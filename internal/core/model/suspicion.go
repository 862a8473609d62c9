package model

// Suspicion lists upstreams and failure domains that did not answer one instance. It is sent to the other instances of the
// failure domain, which then run their own probes.
type Suspicion struct {
	Upstreams []UpstreamID
	// Domains lists failure domains in which no upstream answers.
	Domains []DomainID
}

// Empty reports whether the suspicion names no upstream and no failure domain.
func (s Suspicion) Empty() bool {
	return len(s.Upstreams) == 0 && len(s.Domains) == 0
}
