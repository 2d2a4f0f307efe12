// Package examples holds the declarations of two deployments, for the demo and
// as a start for one's own.
package examples

import (
	"embed"
	"path"

	"github.com/gravitational/trace"

	"cowsliphinge/decoder"
	"cowsliphinge/messenger"
	"cowsliphinge/validator"
)

//go:embed kauri-lane tastatur-samlet
var files embed.FS

// Deployments are the names that Declarations knows.
var Deployments = []string{"kauri-lane", "tastatur-samlet"}

// Declarations returns the declarations of a deployment, or ErrFindings.
func Declarations(deployment string) (*messenger.Declarations, error) {
	name := path.Join(deployment, "declarations.json")
	content, err := files.ReadFile(name)
	if err != nil {
		return nil, trace.NotFound("no example deployment is called %s", deployment)
	}
	d := &messenger.Declarations{}
	findings := decoder.Bytes(name, content, d)
	if len(findings) == 0 {
		findings = validator.Declarations(name, d)
	}
	if len(findings) > 0 {
		return nil, trace.Wrap(decoder.ErrFindings{Findings: findings})
	}
	return d, nil
}

// Key returns the bearer key of a client account of the examples.
func Key(clientAccount string) string {
	return "example-key-of-" + clientAccount
}
