package choose

const (
	// budgetBurst is the maximum credit, in retries.
	budgetBurst      = 10.0
	percentPerCredit = 100.0
)

// RetryBudget limits retries to a percentage of first attempts. It is a token bucket that starts with budgetBurst credits.
type RetryBudget struct {
	// Percent is the number of retries allowed per 100 first attempts.
	Percent int
	// credit is the number of retries that are currently allowed; at most budgetBurst.
	credit      float64
	initialized bool
}

// Deposit adds the credit for one first attempt.
func (b *RetryBudget) Deposit() {
	b.initialize()
	b.credit = min(b.credit+float64(b.Percent)/percentPerCredit, budgetBurst)
}

// TryWithdraw takes the credit of one retry. It reports whether there was enough.
func (b *RetryBudget) TryWithdraw() bool {
	b.initialize()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

func (b *RetryBudget) initialize() {
	if !b.initialized {
		b.credit, b.initialized = budgetBurst, true
	}
}
