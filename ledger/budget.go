package ledger

// canReserve says whether cost can be reserved. Spent and reserved together
// never exceed the budget.
func (p *program) canReserve(cost Budget) bool {
	free := p.free()
	return cost.Tokens <= free.Tokens && cost.Calls <= free.Calls
}

func (p *program) free() Budget {
	return Budget{
		Tokens: p.Budget.Tokens - p.Spent.Tokens - p.Reserved.Tokens,
		Calls:  p.Budget.Calls - p.Spent.Calls - p.Reserved.Calls,
	}
}

func (p *program) reserve(cost Budget) {
	p.Reserved.Tokens += cost.Tokens
	p.Reserved.Calls += cost.Calls
}

// settle replaces a reservation by what was spent and returns what was
// charged. A report above the reservation is charged only as far as the
// budget reaches.
func (p *program) settle(reserved, spent Budget) Budget {
	p.Reserved.Tokens -= reserved.Tokens
	p.Reserved.Calls -= reserved.Calls
	free := p.free()
	spent = Budget{Tokens: min(spent.Tokens, free.Tokens), Calls: min(spent.Calls, free.Calls)}
	p.Spent.Tokens += spent.Tokens
	p.Spent.Calls += spent.Calls
	return spent
}
