package validator_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/decoder"
	"cowsliphinge/messenger"
	"cowsliphinge/validator"
)

func TestSettingsCollectsAllFindings(t *testing.T) {
	findings := validator.Settings("s.json", &messenger.Settings{
		Host:             "akl-a-1",
		AvailabilityZone: "akl-a",
		CallerAddress:    "127.0.0.1:8001",
		ExchangeAddress:  "127.0.0.1:8001",
		PlatformUrl:      "platform:1",
		OperatorKey:      "0123456789abcdef",
		RouterKey:        "0123456789abcdef",
		LogFormat:        "Xml",
		CallerTls:        &messenger.TlsFiles{KeyFile: "k"},
	})
	assert.Equal(t, decoder.ErrFindings{Findings: findings}.Error(), `s.json: $.ExchangeAddress: is also the address of $.CallerAddress
s.json: $.PlatformUrl: must be an http or https URL
s.json: $.RouterKey: must differ from $.OperatorKey
s.json: $.LogFormat: must be one of [Text Json]
s.json: $.CallerTls: must name both CertificateFile and KeyFile, or neither`)
}
