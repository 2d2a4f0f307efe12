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

// Guards against a memory limit into which the process or a single body does not fit.
func TestMemoryMustHoldOneBody(t *testing.T) {
	for _, c := range []struct {
		memoryMb, maxBodyBytes int64
		finding                string
	}{
		{0, 0, ""},
		{0, 64 << 20, ""},
		{64, 0, ""},
		{64, 2 << 20, ""},
		{64, 3 << 20, "s.json: $.MaxBodyBytes: must not be above 1/32 of MemoryMb"},
		{63, 0, "s.json: $.MemoryMb: must be from 64 to 1048576"},
		{-1, 0, "s.json: $.MemoryMb: must be from 64 to 1048576"},
	} {
		findings := validator.Settings("s.json", &messenger.Settings{
			Host: "a", AvailabilityZone: "a", CallerAddress: "127.0.0.1:1", ExchangeAddress: "127.0.0.1:2", PlatformUrl: "http://127.0.0.1:3",
			OperatorKey: "0123456789abcdef", RouterKey: "fedcba9876543210", MemoryMb: c.memoryMb, MaxBodyBytes: c.maxBodyBytes,
		})
		assert.Equal(t, decoder.ErrFindings{Findings: findings}.Error(), c.finding)
	}
}
