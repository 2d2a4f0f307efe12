package cmd

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/messenger"
)

// Exit codes of the operators' subcommands, besides those of the library.
const (
	// exitConflict says that another version than the expected one is present.
	exitConflict subcommands.ExitStatus = 4
	// exitUnavailable says that the outcome is unknown or nobody answered; the
	// command may be repeated with the same operation ID.
	exitUnavailable subcommands.ExitStatus = 5
)

const exitCodes = `  Exit codes: 0 ok, 1 failed, 2 usage, 3 findings, 4 conflict, 5 unavailable or outcome unknown.
`

// defaultTimeoutMs bounds one command.
const defaultTimeoutMs = 30 * clocker.Second

// console is what the operators' subcommands share: the connection to a
// router, the form of the output, and the exit codes.
type console struct {
	address   string
	keyFile   string
	authority string
	output    string
	timeoutMs int64

	out, err io.Writer
	clock    *clocker.Clock
}

func newConsole() console {
	return console{out: os.Stdout, err: os.Stderr, clock: clocker.NewWall()}
}

// setFlags adds the flags of a subcommand that calls a router.
func (c *console) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.address, "address", "127.0.0.1:8201", "exchange `address` of any router")
	f.StringVar(&c.keyFile, "key-file", "operator.key", "`file` that holds the operator key")
	f.StringVar(&c.authority, "ca", "", "`file` of the certificate authority; set, it turns TLS on")
	f.Int64Var(&c.timeoutMs, "timeout-ms", int64(defaultTimeoutMs), "longest wait for the command, in milliseconds")
	c.setOutputFlag(f)
}

func (c *console) setOutputFlag(f *flag.FlagSet) {
	f.StringVar(&c.output, "o", "table", "output `form`: table or json")
}

// session is an open connection of one command.
type session struct {
	messenger.Commander
	messenger.Querier
	ctx    context.Context
	cancel context.CancelFunc
}

func (c *console) open(ctx context.Context) (*session, error) {
	if c.output != "table" && c.output != "json" {
		return nil, errUsage{"-o must be table or json"}
	}
	key, err := os.ReadFile(c.keyFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	config, err := c.tlsConfig()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client := exchanger.NewHTTPClient(strings.TrimSpace(string(key)), config)
	url := "http://" + c.address
	if config != nil {
		url = "https://" + c.address
	}
	s := newSession(url, client)
	s.ctx, s.cancel = c.clock.WithTimeout(ctx, clocker.Millis(c.timeoutMs))
	return s, nil
}

func newSession(url string, client *http.Client) *session {
	return &session{
		Commander: messenger.NewCommanderProtobufClient(url, client),
		Querier:   messenger.NewQuerierProtobufClient(url, client),
	}
}

func (c *console) tlsConfig() (*tls.Config, error) {
	if c.authority == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.authority)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s holds no certificate", c.authority)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// errUsage says that a command line is wrong.
type errUsage struct {
	reason string
}

// Error implements error.
func (err errUsage) Error() string {
	return err.reason
}

// errFindings ends a command whose findings were printed.
type errFindings struct{}

// Error implements error.
func (errFindings) Error() string {
	return "there are findings; nothing was changed"
}

// finish prints an error and returns the exit code.
func (c *console) finish(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(c.err, "error:", err)
	var usage errUsage
	var findings errFindings
	var remote twirp.Error
	switch {
	case errors.As(err, &usage):
		return subcommands.ExitUsageError
	case errors.As(err, &findings):
		return exitFindings
	case !errors.As(err, &remote):
		return subcommands.ExitFailure
	case remote.Code() == twirp.Aborted:
		return exitConflict
	case unavailable(err):
		return exitUnavailable
	}
	return subcommands.ExitFailure
}

// unavailable reports whether a repeat with the same operation ID may succeed.
func unavailable(err error) bool {
	var remote twirp.Error
	if !errors.As(err, &remote) {
		return false
	}
	switch remote.Code() {
	case twirp.Unavailable, twirp.DeadlineExceeded, twirp.Canceled:
		return true
	case twirp.Internal:
		// The client reports a broken connection so.
		return strings.Contains(remote.Msg(), "failed to do request")
	}
	return false
}

// repeatMs is the wait before a command is repeated with its operation ID.
const repeatMs = 500

// repeat calls a command until its outcome is known or the time is up.
func (c *console) repeat(s *session, call func() error) error {
	for {
		err := call()
		if !unavailable(err) {
			return err
		}
		fmt.Fprintln(c.err, "repeating:", err)
		if c.clock.Sleep(s.ctx, repeatMs) != nil {
			return err
		}
	}
}

func newOperationID() string {
	var random [16]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// show prints a message as JSON, or the table that fill writes.
func (c *console) show(m proto.Message, fill func(w io.Writer)) error {
	if c.output == "json" {
		encoded, err := protojson.MarshalOptions{UseProtoNames: true, Multiline: true, Indent: "  "}.Marshal(m)
		if err != nil {
			return trace.Wrap(err)
		}
		_, err = fmt.Fprintln(c.out, string(encoded))
		return trace.Wrap(err)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	fill(w)
	return trace.Wrap(w.Flush())
}

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		text := fmt.Sprint(cell)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// when renders a point in time; 0 is none.
func when(ms int64) string {
	if ms == 0 {
		return ""
	}
	return clocker.Millis(ms).Format("2006-01-02T15:04:05Z")
}

// findingsIn prints findings under the name of a file and returns errFindings if
// any of them is more than a warning.
func (c *console) findingsIn(file string, findings []*messenger.Finding) error {
	blocking := false
	for _, f := range findings {
		name, kind := f.File, ""
		if name == "" {
			name = file
		}
		if f.Warning {
			kind = "warning: "
		}
		blocking = blocking || !f.Warning
		fmt.Fprintf(c.err, "%s: %s%s: %s\n", name, kind, f.Path, f.Message)
	}
	if blocking {
		return errFindings{}
	}
	return nil
}

func changeTable(w io.Writer, changes []*messenger.Change) {
	row(w, "KIND", "PATH", "BEFORE", "AFTER")
	for _, change := range changes {
		row(w, change.Kind, change.Path, change.Before, change.After)
	}
}
