package checker

// checkAnswers finds answers that are not whole or not the caller's own.
func checkAnswers(v *Verdict, h History) {
	for _, r := range h.Requests {
		if r.Outcome != Answered {
			continue
		}
		if !r.Whole {
			v.violate(&v.WrongAnswers, "answer %s of %s is not whole", r.RequestID, r.ClientAccount)
		} else if !r.Own {
			v.violate(&v.WrongAnswers, "answer %s of %s is not its own", r.RequestID, r.ClientAccount)
		}
	}
}

// checkRuns finds second runs of non-idempotent calls, and runs of calls that
// were said not to have run.
func checkRuns(v *Verdict, j joined) {
	for _, c := range j.calls {
		if c.nonIdempotent() && len(c.runs) > 1 {
			v.violate(&v.DoubleRuns, "%s ran %d times", c.key, len(c.runs))
		}
		checkNotRun(v, c)
	}
}

// checkNotRun believes a refusal if a run can belong to another attempt that
// was not refused. A non-idempotent call that ran before a repeat was sent
// cannot be refused as not run.
func checkNotRun(v *Verdict, c *call) {
	if !c.has(RefusedNotRun) {
		return
	}
	others := c.has(Answered, InProgress, OutcomeUnknown, Broken, Left)
	if !others && len(c.runs) > 0 {
		v.violate(&v.FalseNotRun, "%s was refused as not run and ran at %s", c.key, c.runs[0].Server)
		return
	}
	if !others && len(c.bills) > 0 {
		v.violate(&v.FalseNotRun, "%s was refused as not run and billed", c.key)
		return
	}
	if !c.nonIdempotent() {
		return
	}
	for _, r := range c.attempts {
		if r.Outcome == RefusedNotRun && ranBefore(c, r) {
			v.violate(&v.FalseNotRun, "%s had run when a repeat was refused as not run", c.key)
		}
	}
}

func ranBefore(c *call, r Request) bool {
	for _, run := range c.runs {
		if run.StartedAt < r.SentAt {
			return true
		}
	}
	return false
}

// checkBills finds calls that were not billed exactly once with the amount
// that was served.
func checkBills(v *Verdict, h History, j joined) {
	if len(h.Bills) == 0 {
		return
	}
	for _, c := range j.calls {
		if len(c.bills) > 1 {
			v.violate(&v.DoubleBills, "%s was billed %d times", c.key, len(c.bills))
			continue
		}
		checkBill(v, c)
	}
	checkStrayBills(v, h, j)
}

func checkBill(v *Verdict, c *call) {
	for _, r := range c.attempts {
		if r.Outcome != Answered {
			continue
		}
		if len(c.bills) == 0 {
			v.violate(&v.MissingBills, "%s was answered and not billed", c.key)
			return
		}
		if b := c.bills[0]; b.Tokens != r.Tokens() {
			v.violate(&v.WrongBills, "%s was billed %d tokens and served %d", c.key, b.Tokens, r.Tokens())
			return
		}
	}
}

// checkStrayBills allows one bill of an unknown request ID for each attempt
// whose request ID never reached the caller.
func checkStrayBills(v *Verdict, h History, j joined) {
	nameless := map[string]int{}
	for _, r := range h.Requests {
		if r.RequestID == "" && r.Outcome != RefusedNotRun {
			nameless[r.ClientAccount]++
		}
	}
	for _, b := range j.strayBills {
		nameless[b.ClientAccount]--
		if nameless[b.ClientAccount] < 0 {
			v.violate(&v.WrongBills, "bill %s of %s belongs to no request", b.RequestID, b.ClientAccount)
		}
	}
}
