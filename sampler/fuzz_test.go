package sampler_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/picker"
	"cowsliphinge/sampler"
)

// FuzzReports decodes arbitrary answers of a backend server to queries for its load and
// its cache events. The result must be a report or an error.
func FuzzReports(f *testing.F) {
	f.Add(200, []byte(`{"Running":-3,"Queued":9223372036854775807,"Slots":1e3,"SampledAtMs":null}`))
	f.Add(200, []byte(`[{"Sequence":-1,"Kind":7},null]`))
	f.Add(200, []byte(`{"Running":1e400}`))
	f.Add(404, []byte(`x`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		answer := connector.Answer{Status: status, Body: body}
		s := sampler.New(sampler.Config{Clock: clocker.NewManual(0), Client: fakeClient{"/load": answer, "/cache-events?after=4": answer}})
		_, err := s.FetchLoad(context.Background(), "a")
		assert.Equal(t, picker.IsErrNoReport(err), status != 200)
		_, err = s.FetchCacheEvents(context.Background(), "a", 4)
		assert.Equal(t, picker.IsErrNoReport(err), status != 200)
	})
}
