package quota

// remainingWants returns the part of wants that supplies do not cover. Both
// lists have the same workspaces in the same order.
func remainingWants(wants []Want, supplies []Supply) []Want {
	rest := make([]Want, len(wants))
	for i, w := range wants {
		rest[i] = Want{Workspace: w.Workspace, Tokens: w.Tokens - supplies[i].Tokens}
	}
	return rest
}

// hasShortfall reports whether supplies cover less than wants.
func hasShortfall(wants []Want, supplies []Supply) bool {
	for i, w := range wants {
		if supplies[i].Tokens < w.Tokens {
			return true
		}
	}
	return false
}

// addSupplies adds two answers to the same wants. RetryAfter is that of the
// second.
func addSupplies(first, second []Supply) []Supply {
	sum := make([]Supply, len(first))
	for i, s := range second {
		sum[i] = Supply{Workspace: s.Workspace, Tokens: first[i].Tokens + s.Tokens, RetryAfter: s.RetryAfter}
	}
	return sum
}
