package runner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/reserver"
)

// Guards against a line for each account every 5 s: one account that is used slowly, for ten minutes, and one that
// nobody uses. A refusal and a large change are logged at the next look.
func TestBudgetIsLoggedWhenItChanges(t *testing.T) {
	var l budgetLog
	now := clocker.Hour
	lines := map[string]int{}
	look := func(s reserver.Snapshot) {
		if l.due(s, now) {
			lines[s.Budget]++
		}
	}
	used := reserver.Snapshot{Budget: "used", Granted: 1000, Unassigned: 1000}
	for range 120 {
		used.Unassigned -= 2
		look(used)
		look(reserver.Snapshot{Budget: "idle", Granted: 1000, Unassigned: 1000})
		now += budgetLogInterval
	}
	assert.DeepEqual(t, lines, map[string]int{"used": 10, "idle": 10})

	look(used)
	before := lines["used"]
	now += budgetLogInterval
	used.Refused++
	look(used)
	assert.Equal(t, lines["used"], before+1)
	now += budgetLogInterval
	used.Unassigned -= 101
	look(used)
	assert.Equal(t, lines["used"], before+2)
	now += budgetLogInterval
	look(used)
	assert.Equal(t, lines["used"], before+2)
}
