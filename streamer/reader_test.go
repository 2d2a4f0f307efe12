package streamer_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/streamer"
)

func ExampleReader() {
	reader := streamer.NewReader(strings.NewReader("id: 1\ndata: {}\n\n: comment\n\ndata: [DONE]\n\n"))
	for {
		event, err := reader.Next()
		if err == io.EOF {
			break
		}
		fmt.Println(event.Number, string(event.Data), event.Done())
	}
	// Output:
	// 1 {} false
	// 0 [DONE] true
}

func TestNextReportsTruncation(t *testing.T) {
	reader := streamer.NewReader(strings.NewReader("data: {}\n\ndata: {"))
	_, err := reader.Next()
	assert.NilError(t, err)
	_, err = reader.Next()
	assert.ErrorIs(t, err, streamer.ErrTruncated)
}

func TestNextReadsLongLines(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	reader := streamer.NewReader(strings.NewReader("data: " + long + "\r\n\r\ndata: [DONE]\n\n"))
	defer reader.Close()
	event, err := reader.Next()
	assert.NilError(t, err)
	assert.Equal(t, string(event.Data), long)
	event, err = reader.Next()
	assert.NilError(t, err)
	assert.Assert(t, event.Done())
	reader = streamer.NewReader(strings.NewReader(strings.Repeat("x", 2*streamer.MaxLineBytes)))
	_, err = reader.Next()
	assert.ErrorIs(t, err, streamer.ErrLineTooLong)
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {}\n\n"))
	f.Add([]byte("event: error\ndata: a\ndata: b\n\nid: 99999999999999999999\n\n"))
	f.Add([]byte("data"))
	f.Fuzz(func(_ *testing.T, content []byte) {
		reader := streamer.NewReader(strings.NewReader(string(content)))
		for range len(content) + 1 {
			if _, err := reader.Next(); err != nil {
				return
			}
		}
		panic("more events than bytes")
	})
}

func BenchmarkNext(b *testing.B) {
	stream := strings.Repeat("id: 17\ndata: {\"choices\":[{\"delta\":{\"content\":\"word \"}}]}\n\n", 1000)
	b.ReportAllocs()
	for b.Loop() {
		reader := streamer.NewReader(strings.NewReader(stream))
		for range 1000 {
			_, _ = reader.Next()
		}
		reader.Close()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/event")
}
