package decoder_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/decoder"
	"cowsliphinge/messenger"
)

func TestBytesCollectsAllFindings(t *testing.T) {
	content := `{"Hosts": [{"Name": 1}, {"Nmae": "a"}], "Services": [{"Kind": "OTHER", "QueueLimit": -1}], "Policy": 3}`
	findings := decoder.Bytes("fleet.json", []byte(content), &messenger.Declarations{})
	assert.Equal(t, decoder.ErrFindings{Findings: findings}.Error(), `fleet.json: $.Hosts[0].Name: must be a string
fleet.json: $.Hosts[1].Nmae: is an unknown key
fleet.json: $.Policy: must be an object
fleet.json: $.Services[0].Kind: must be one of LANGUAGE, APPLICATION
fleet.json: $.Services[0].QueueLimit: must not be negative`)
}

func TestBytesDecodes(t *testing.T) {
	var d messenger.Declarations
	findings := decoder.Bytes("fleet.json", []byte(`{"Services": [{"Name": "draft", "Kind": "LANGUAGE"}]}`), &d)
	assert.Equal(t, len(findings), 0)
	assert.Equal(t, d.Services[0].Kind, messenger.ServiceKind_LANGUAGE)
}

func TestBytesReadsNumbersInStrings(t *testing.T) {
	var d messenger.Declarations
	findings := decoder.Bytes("fleet.json", []byte(`{"Services": [{"QueueLimit": "12"}]}`), &d)
	assert.Equal(t, len(findings), 0)
	assert.Equal(t, d.Services[0].QueueLimit, int64(12))
	findings = decoder.Bytes("fleet.json", []byte(`{"Services": [{"QueueLimit": "-1"}, {"QueueLimit": "x"}]}`), &d)
	assert.Equal(t, decoder.ErrFindings{Findings: findings}.Error(), `fleet.json: $.Services[0].QueueLimit: must not be negative
fleet.json: $.Services[1].QueueLimit: must be a whole number that fits 64 bits`)
}

func FuzzBytes(f *testing.F) {
	f.Add([]byte(`{"Hosts": [{"Name": "a"}]}`))
	f.Add([]byte(`{"Policy": {"HeadroomMs": 9223372036854775808}}`))
	f.Add([]byte(`[[[[{}]]]] 1`))
	f.Fuzz(func(_ *testing.T, content []byte) {
		decoder.Bytes("f", content, &messenger.Declarations{})
	})
}
