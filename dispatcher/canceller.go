package dispatcher

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// cancelTimeout bounds the cancellation of another host's stream, in milliseconds.
const cancelTimeout = 2 * clocker.Second

var cancelledStreams = metrics.NewCounter("cowsliphinge_streams_cancelled_total")

// Canceller cancels streams at model engines.
type Canceller struct {
	Connector Connector
	Clock     *clocker.Clock
}

// Cancel cancels a stream and returns its prompt tokens and the tokens generated so
// far. It returns false if the engine does not report them.
func (c Canceller) Cancel(address, requestID string) (promptTokens, outputTokens int64, ok bool) {
	return c.cancel(address, requestID, cancelTimeout)
}

func (c Canceller) cancel(address, requestID string, timeout clocker.Millis) (promptTokens, outputTokens int64, ok bool) {
	cancelledStreams.Inc()
	answer, err := c.Connector.Call(address, connector.Request{
		Method:          http.MethodDelete,
		Path:            "/v1/streams/" + requestID,
		RequestID:       requestID,
		Deadline:        c.Clock.Now() + timeout,
		ProgressTimeout: timeout,
		OwnConnection:   true,
	})
	if err != nil || answer.Status != http.StatusOK {
		return 0, 0, false
	}
	var generated struct{ PromptTokens, OutputTokens int64 }
	if err := json.Unmarshal(answer.Body, &generated); err != nil {
		return 0, 0, false
	}
	return generated.PromptTokens, generated.OutputTokens, true
}
