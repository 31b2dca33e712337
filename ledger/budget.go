package ledger

// canReserve reports whether cost fits in the remaining budget. It is checked
// before each reservation, so that the sum of spent and reserved amounts never
// exceeds the budget.
func (p *program) canReserve(cost Budget) bool {
	remaining := p.remaining()
	return cost.Tokens <= remaining.Tokens && cost.Calls <= remaining.Calls
}

func (p *program) remaining() Budget {
	return Budget{
		Tokens: p.Budget.Tokens - p.Spent.Tokens - p.Reserved.Tokens,
		Calls:  p.Budget.Calls - p.Spent.Calls - p.Reserved.Calls,
	}
}

func (p *program) reserve(cost Budget) {
	p.Reserved.Tokens += cost.Tokens
	p.Reserved.Calls += cost.Calls
}

// settle releases a reservation, charges the amount spent and returns the
// charge. An amount above the reservation is charged only up to the remaining
// budget.
func (p *program) settle(reserved, spent Budget) Budget {
	p.Reserved.Tokens -= reserved.Tokens
	p.Reserved.Calls -= reserved.Calls
	remaining := p.remaining()
	spent = Budget{Tokens: min(spent.Tokens, remaining.Tokens), Calls: min(spent.Calls, remaining.Calls)}
	p.Spent.Tokens += spent.Tokens
	p.Spent.Calls += spent.Calls
	return spent
}
