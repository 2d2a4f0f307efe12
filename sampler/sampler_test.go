package sampler_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/picker"
	"cowsliphinge/sampler"
)

// fakeClient returns a fixed answer for each path, and an error for unknown paths.
type fakeClient map[string]connector.Answer

func (f fakeClient) Call(_ string, r connector.Request) (*connector.Answer, error) {
	answer, ok := f[r.Path]
	if !ok {
		return nil, errors.New("no connection")
	}
	return &answer, nil
}

func TestLoadReportAndCacheEvents(t *testing.T) {
	ctx := context.Background()
	caller := fakeClient{
		"/load":                 {Status: 200, Body: []byte(`{"Running":3,"Queued":1,"Slots":16,"SampledAtMs":7}`)},
		"/cache-events?after=4": {Status: 200, Body: []byte(`[{"Sequence":9,"Kind":"Evicted","Prefix":18446744073709551615}]`)},
	}
	s := sampler.New(sampler.Config{Clock: clocker.NewManual(0), Client: caller})
	report, err := s.FetchLoad(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, report, picker.LoadReport{Running: 3, Queued: 1, Slots: 16, SampledAtMs: 7})
	events, err := s.FetchCacheEvents(ctx, "a", 4)
	assert.NilError(t, err)
	assert.DeepEqual(t, events, []picker.CacheEvent{{Sequence: 9, Kind: picker.CacheEvicted, Prefix: 1<<64 - 1}})
}

func TestMissingReportIsNotAServerFailure(t *testing.T) {
	caller := fakeClient{"/load": {Status: 404}}
	s := sampler.New(sampler.Config{Clock: clocker.NewManual(0), Client: caller})
	_, err := s.FetchLoad(context.Background(), "a")
	assert.Assert(t, picker.IsErrNoReport(err))
	delete(caller, "/load")
	_, err = s.FetchLoad(context.Background(), "a")
	assert.Assert(t, err != nil && !picker.IsErrNoReport(err))
}
