package quota

// missing returns what supplies leave of wants, in the same order.
func missing(wants []Want, supplies []Supply) []Want {
	rest := make([]Want, len(wants))
	for i, w := range wants {
		rest[i] = Want{Workspace: w.Workspace, Tokens: w.Tokens - supplies[i].Tokens}
	}
	return rest
}

// lacking reports whether supplies fall short of wants.
func lacking(wants []Want, supplies []Supply) bool {
	for i, w := range wants {
		if supplies[i].Tokens < w.Tokens {
			return true
		}
	}
	return false
}

// merge adds two answers to the same wants. The later one's advice holds.
func merge(first, second []Supply) []Supply {
	sum := make([]Supply, len(first))
	for i, s := range second {
		sum[i] = Supply{Workspace: s.Workspace, Tokens: first[i].Tokens + s.Tokens, RetryAfter: s.RetryAfter}
	}
	return sum
}
