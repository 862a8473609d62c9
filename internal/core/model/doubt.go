package model

// Suspicion names what one instance has found silent, so that others of its failure domain look for themselves.
type Suspicion struct {
	Upstreams []UpstreamID
	// Domains holds failure domains of which no upstream answers.
	Domains []DomainID
}

// Empty reports whether nothing is doubted.
func (d Suspicion) Empty() bool {
	return len(d.Upstreams) == 0 && len(d.Domains) == 0
}
