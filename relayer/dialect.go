package relayer

// Dialect names the headers that a Relayer reads and sets. They belong to the
// protocol of the deployment; an empty name is never sent.
type Dialect struct {
	// RequestID names one attempt of a caller and is passed on as it came.
	RequestID string
	// Deadline holds the milliseconds that the caller, and then the server, has.
	Deadline string
	// Signature marks an answer as a backend server's own.
	Signature string
	// Account holds the name of the client account, towards backend servers.
	Account string
	// ExpectID makes any other backend server refuse the request.
	ExpectID string
	// NotRun marks a refusal of a backend server that did not run the request.
	NotRun string
	// Load holds running and waiting requests and slots, separated by commas.
	Load string
	// Priority is 0 to 9 towards model engines, 0 is first.
	Priority string
	// LastEventID is the last event of a stream that the caller has.
	LastEventID string
	// Tokens holds the tokens of the prompt and the most to generate.
	Tokens string
	// Prefix lists the parts of a prompt as ID:TOKENS.
	Prefix string
	// Reserved are headers that callers may not send to backend servers.
	Reserved []string
}
