package comparer_test

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/comparer"
)

func TestVariantsChangeOnlyWhatTheyName(t *testing.T) {
	e := comparer.Experiment{
		Base: json.RawMessage(`{"HostsPerZone":2,"Policy":{"PatienceMs":"1","HeadroomMs":"2"}}`),
		Variants: []comparer.Variant{
			{Name: "before"},
			{Name: "after", Change: json.RawMessage(`{"Policy":{"PatienceMs":"9"}}`)},
		},
	}
	setups, err := e.Setups()
	assert.NilError(t, err)
	assert.Equal(t, setups[1].HostsPerZone, 2)
	assert.Equal(t, string(setups[0].Policy), `{"PatienceMs":"1","HeadroomMs":"2"}`)
	assert.Equal(t, string(setups[1].Policy), `{"HeadroomMs":"2","PatienceMs":"9"}`)
	assert.Equal(t, setups[1].Load.Name, "after")
}

func TestUnknownKeysAreErrors(t *testing.T) {
	e := comparer.Experiment{Base: json.RawMessage(`{"Hosts":2}`), Variants: []comparer.Variant{{Name: "only"}}}
	_, err := e.Setups()
	assert.ErrorContains(t, err, "Hosts")
}

func TestExperimentsOfThisProjectAreValid(t *testing.T) {
	names, err := filepath.Glob("../experiments/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		e, err := comparer.Read(name)
		assert.NilError(t, err, name)
		setups, err := e.Setups()
		assert.NilError(t, err)
		for _, s := range setups {
			s.Load.Callers = []string{"127.0.0.1:1"}
			assert.NilError(t, s.Load.Validate(), name)
		}
	}
}
