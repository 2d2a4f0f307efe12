package checker_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
)

// history returns a run that keeps every promise: a draft, an order with a
// repeat, and a refusal for want of budget.
func history() checker.History {
	draft := checker.Request{
		ClientAccount: "kauri", Budget: "b", Service: "drafts", RequestID: "r1", Address: "h1",
		SentAt: 1000, FinishedAt: 2000, Outcome: checker.Answered, Whole: true, Own: true,
		PromptTokens: 20, OutputTokens: 10, WorstCase: 60,
	}
	order := checker.Request{
		ClientAccount: "kauri", Budget: "b", Service: "orders", RequestID: "r2", Address: "h1",
		IdempotencyKey: "k", NonIdempotent: true, SentAt: 3000, FinishedAt: 3100,
		Outcome: checker.Answered, Whole: true, Own: true, AnswerID: "a", CallTokens: 5, WorstCase: 5,
	}
	repeat := order
	repeat.SentAt, repeat.FinishedAt = 4000, 4100
	refused := checker.Request{
		ClientAccount: "kauri", Budget: "b", Service: "drafts", RequestID: "r3", Address: "h1",
		SentAt: 5000, FinishedAt: 5100, Outcome: checker.RefusedNotRun, Code: checker.CodeBudgetExhausted, WorstCase: 66,
	}
	return checker.History{
		Requests: []checker.Request{draft, order, repeat, refused},
		Runs: []checker.Run{
			{Server: "engine-1", RequestID: "r1", StartedAt: 1010, EndedAt: 1990, PromptTokens: 20, Generated: 10, Delivered: 10},
			{Server: "app-1", RequestID: "r2", IdempotencyKey: "k", StartedAt: 3010},
		},
		Bills: []checker.Bill{
			{ClientAccount: "kauri", RequestID: "r1", Budget: "b", Tokens: 30},
			{ClientAccount: "kauri", RequestID: "r2", Budget: "b", Tokens: 5},
			{ClientAccount: "kauri", RequestID: "r2", Budget: "b", Tokens: 5},
		},
		Budgets:  []checker.Budget{{Name: "b", Initial: 100, Granted: 100, Assigned: 90}},
		Leavings: []checker.Leaving{{Server: "engine-1", At: 6000}},
		Stops:    []checker.Stop{{Host: "host-1", Address: "h1", From: 6000, Until: 7000}},
		Versions: []checker.Version{{Host: "host-1", At: 10, Version: 1}, {Host: "host-1", At: 20, Version: 2}},
		Applies:  []checker.Apply{{OperationID: "o1", ExpectedVersion: 1, Version: 2}, {OperationID: "o2", ExpectedVersion: 1, Conflict: true}},
		Services: []checker.Service{{Name: "drafts", Slots: 1}},
	}
}

func TestGoodHistoryHolds(t *testing.T) {
	v := checker.Check(history())
	assert.Assert(t, v.Holds(), "%q", v.Violations)
	assert.Equal(t, v.Requests, 4)
	assert.Equal(t, v.Answered, 3)
	assert.Equal(t, v.RefusedNotRun, 1)
	assert.Equal(t, v.FalseRefusals, 0)
}

// violations are histories that each break one promise.
var violations = []struct {
	name  string
	plant func(h *checker.History)
	count func(v checker.Verdict) int
}{
	{"overspend", func(h *checker.History) {
		h.Budgets = []checker.Budget{{Name: "b", Initial: 34}}
		h.Bills = nil
	}, func(v checker.Verdict) int { return int(v.OverspentTokens) }},
	{"overspend before the top-up", func(h *checker.History) {
		h.Budgets = []checker.Budget{{Name: "b", Initial: 29}}
		h.TopUps = []checker.TopUp{{OperationID: "t", Budget: "b", Tokens: 100, SentAt: 2001, Confirmed: true}}
	}, func(v checker.Verdict) int { return int(v.OverspentTokens) }},
	{"order runs twice", func(h *checker.History) {
		h.Runs = append(h.Runs, checker.Run{Server: "app-2", RequestID: "r9", IdempotencyKey: "k", StartedAt: 4010})
	}, func(v checker.Verdict) int { return v.DoubleRuns }},
	{"repeat gets another answer", func(h *checker.History) {
		h.Requests[2].AnswerID = "b"
	}, func(v checker.Verdict) int { return v.DoubleRuns }},
	{"billed twice", func(h *checker.History) {
		h.Bills = append(h.Bills, checker.Bill{ClientAccount: "kauri", RequestID: "r1", Budget: "b", Tokens: 31})
	}, func(v checker.Verdict) int { return v.DoubleBills }},
	{"not billed", func(h *checker.History) { h.Bills = h.Bills[1:] }, func(v checker.Verdict) int { return v.MissingBills }},
	{"billed too much", func(h *checker.History) { h.Bills[0].Tokens = 31 }, func(v checker.Verdict) int { return v.WrongBills }},
	{"bill of nobody", func(h *checker.History) {
		h.Bills = append(h.Bills, checker.Bill{ClientAccount: "kauri", RequestID: "r8", Budget: "b", Tokens: 1})
	}, func(v checker.Verdict) int { return v.WrongBills }},
	{"half an answer", func(h *checker.History) { h.Requests[0].Whole = false }, func(v checker.Verdict) int { return v.WrongAnswers }},
	{"crossed answer", func(h *checker.History) { h.Requests[0].Own = false }, func(v checker.Verdict) int { return v.WrongAnswers }},
	{"refusal that ran", func(h *checker.History) {
		h.Runs = append(h.Runs, checker.Run{Server: "engine-1", RequestID: "r3", StartedAt: 5050})
	}, func(v checker.Verdict) int { return v.FalseNotRun }},
	{"refusal that was billed", func(h *checker.History) {
		h.Bills = append(h.Bills, checker.Bill{ClientAccount: "kauri", RequestID: "r3", Budget: "b", Tokens: 1})
	}, func(v checker.Verdict) int { return v.FalseNotRun }},
	{"repeat refused after the run", func(h *checker.History) {
		h.Requests[2].Outcome = checker.RefusedNotRun
	}, func(v checker.Verdict) int { return v.FalseNotRun }},
	{"work after leaving", func(h *checker.History) {
		h.Runs = append(h.Runs, checker.Run{Server: "engine-1", RequestID: "r7", StartedAt: 9001})
	}, func(v checker.Verdict) int { return v.WorkAfterLeaving }},
	{"cut by a stop", func(h *checker.History) {
		h.Requests = append(h.Requests, checker.Request{Address: "h1", RequestID: "r7", SentAt: 5900, FinishedAt: 6100, Outcome: checker.Broken})
	}, func(v checker.Verdict) int { return v.CutRequests }},
	{"cut by a leaving server", func(h *checker.History) {
		h.Requests = append(h.Requests, checker.Request{Address: "h2", RequestID: "r7", SentAt: 5900, FinishedAt: 6100, Outcome: checker.Broken})
		h.Runs = append(h.Runs, checker.Run{Server: "engine-1", RequestID: "r7", StartedAt: 5950})
	}, func(v checker.Verdict) int { return v.CutRequests }},
	{"configuration goes back", func(h *checker.History) {
		h.Versions = append(h.Versions, checker.Version{Host: "host-1", At: 30, Version: 1})
	}, func(v checker.Verdict) int { return v.VersionFaults }},
	{"two winners", func(h *checker.History) {
		h.Applies[1] = checker.Apply{OperationID: "o2", ExpectedVersion: 1, Version: 2}
	}, func(v checker.Verdict) int { return v.VersionFaults }},
	{"top-up counted twice", func(h *checker.History) {
		h.TopUps = []checker.TopUp{
			{OperationID: "t", Budget: "b", Tokens: 50, SentAt: 1, Confirmed: true},
			{OperationID: "t", Budget: "b", Tokens: 50, SentAt: 2, Confirmed: true},
		}
		h.Budgets[0].Granted = 200
	}, func(v checker.Verdict) int { return v.BudgetFaults }},
	{"assigned beyond granted", func(h *checker.History) { h.Budgets[0].Assigned = 101 }, func(v checker.Verdict) int { return v.BudgetFaults }},
	{"billed beyond granted", func(h *checker.History) {
		h.Requests[0].OutputTokens = 80
		h.Bills[0].Tokens = 100
	}, func(v checker.Verdict) int { return v.BudgetFaults }},
}

func TestEachPlantedViolationIsFound(t *testing.T) {
	for _, planted := range violations {
		t.Run(planted.name, func(t *testing.T) {
			h := history()
			planted.plant(&h)
			v := checker.Check(h)
			assert.Assert(t, planted.count(v) > 0, "%+v", v)
			assert.Assert(t, !v.Holds())
		})
	}
}

func TestAttemptsTurnedAwayAtAStopAreNotCut(t *testing.T) {
	for _, c := range []struct {
		outcome checker.Outcome
		code    string
		want    int
	}{
		{checker.Broken, checker.CodeNotConnected, 0},
		{checker.OutcomeUnknown, "Draining", 0},
		{checker.Broken, "NoAnswer", 1},
		{checker.Broken, "Truncated", 1},
		{checker.OutcomeUnknown, "OutcomeUnknown", 1},
		{checker.OutcomeUnknown, "AnswerBroken", 1},
	} {
		h := history()
		h.Requests = append(h.Requests, checker.Request{
			Address: "h1", RequestID: "r7", SentAt: 6100, FinishedAt: 6200, Outcome: c.outcome, Code: c.code,
		})
		assert.Equal(t, checker.Check(h).CutRequests, c.want, c.code)
	}
}

func TestFalseRefusals(t *testing.T) {
	for _, c := range []struct {
		name     string
		code     string
		worst    int64
		inFlight checker.Outcome
		want     int
	}{
		{"rest is enough", checker.CodeBudgetExhausted, 65, "", 1},
		{"rest is out of reach", checker.CodeBudgetUnreachable, 65, "", 1},
		{"rest is too small", checker.CodeBudgetExhausted, 66, "", 0},
		{"rest is in flight", checker.CodeBudgetExhausted, 65, checker.Answered, 0},
		{"server is idle", "NoServer", 1, "", 1},
		{"server is busy", "NoServer", 1, checker.Answered, 0},
		{"caller's own fault", "BadRequest", 1, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := history()
			h.Requests[3].Code = c.code
			h.Requests[3].WorstCase = c.worst
			if c.inFlight != "" {
				h.Requests = append(h.Requests, checker.Request{
					ClientAccount: "kauri", Budget: "b", Service: "drafts", RequestID: "r4",
					SentAt: 4900, FinishedAt: 5500, Outcome: c.inFlight, WorstCase: 1,
				})
			}
			assert.Equal(t, checker.Check(h).FalseRefusals, c.want)
		})
	}
}

func TestHistorySurvivesItsFile(t *testing.T) {
	var file bytes.Buffer
	recorder := checker.NewRecorder(&file)
	want := history()
	for i := range want.Requests {
		recorder.Record(checker.Entry{Request: &want.Requests[i]})
	}
	recorder.Record(checker.Entry{Budget: &want.Budgets[0]})
	kept, err := recorder.History()
	assert.NilError(t, err)
	read, err := checker.Read(&file)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, kept)
	assert.DeepEqual(t, read.Requests, want.Requests)
}

func TestReadNamesEachWrongLine(t *testing.T) {
	_, err := checker.Read(strings.NewReader("{}\n{\"Run\":{}}\nx\n"))
	assert.Assert(t, checker.IsErrLines(err))
	assert.ErrorContains(t, err, "line 1: no entry")
	assert.ErrorContains(t, err, "line 3:")
}

func ExampleCheck() {
	verdict := checker.Check(checker.History{
		Requests: []checker.Request{{RequestID: "r", Outcome: checker.RefusedNotRun}},
		Runs:     []checker.Run{{Server: "engine-1", RequestID: "r", StartedAt: 5 * clocker.Second}},
	})
	fmt.Println(verdict.FalseNotRun, verdict.Holds())
	// Output: 1 false
}
