package choose

const (
	budgetBurst    = 10.0
	percentPerUnit = 100.0
)

// RetryBudget bounds second tries to a share of first ones; a small burst is always there.
type RetryBudget struct {
	// Percent is the share of first tries that may be repeated.
	Percent int
	// credit is at most budgetBurst.
	credit float64
	filled bool
}

// Deposit adds the credit of one first try.
func (b *RetryBudget) Deposit() {
	b.fill()
	b.credit = min(b.credit+float64(b.Percent)/percentPerUnit, budgetBurst)
}

// TryWithdraw takes the credit of one second try; it reports false when there is none.
func (b *RetryBudget) TryWithdraw() bool {
	b.fill()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

func (b *RetryBudget) fill() {
	if !b.filled {
		b.credit, b.filled = budgetBurst, true
	}
}
