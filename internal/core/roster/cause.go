package roster

import "hawthorncourse/internal/core/model"

// Cause is why a registration ends a run of an upstream, or why a registration is refused.
type Cause uint8

// Causes.
const (
	// CauseLaterRun means that a registration names a later run under the ID.
	CauseLaterRun Cause = iota + 1
	// CauseAddressReused means that a later run has the address.
	CauseAddressReused
	// CauseEarlierRun means that the registration names an earlier run than the known one.
	CauseEarlierRun
	// CauseOtherIdentity means that the registration contradicts the known one under its ID: it names another service, another address or no start.
	CauseOtherIdentity
)

var causeNames = map[Cause]string{
	CauseLaterRun:      "later_run",
	CauseAddressReused: "address_reused",
	CauseEarlierRun:    "earlier_run",
	CauseOtherIdentity: "other_identity",
}

// String returns the name of the cause as used in logs and counters.
func (c Cause) String() string {
	return causeNames[c]
}

// Refusal is a registration that was not applied.
type Refusal struct {
	// Upstream is the run that is known in place of the one that the registration names.
	Upstream     *Upstream
	Registration model.Registration
	Cause        Cause
}

// TakeRefusals returns the refusals since the last call.
func (r *Roster) TakeRefusals() []Refusal {
	refusals := r.refusals
	r.refusals = nil
	return refusals
}

func (r *Roster) refuse(u *Upstream, reg *model.Registration, cause Cause) {
	r.refusals = append(r.refusals, Refusal{Upstream: u, Registration: *reg, Cause: cause})
}
