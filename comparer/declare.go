package comparer

import (
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"

	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
)

// Model and services of each experiment's deployment.
const (
	model           = "draft-1"
	languageService = "drafts"
	orderService    = "orders"
	orderTokens     = 5
	maxOutputTokens = 4096
)

// declare builds the declarations of a setup. Bearer keys are "key-of-" and
// the name of the client account.
func declare(s Setup) (*messenger.Declarations, error) {
	policy := &messenger.Policy{}
	if len(s.Policy) > 0 {
		if err := protojson.Unmarshal(s.Policy, policy); err != nil {
			return nil, trace.Wrap(err, "$.Policy")
		}
	}
	d := &messenger.Declarations{
		Deployment: "experiment",
		Policy:     policy,
		Models:     []*messenger.Model{{Name: model, Version: "1", SizeMb: 1}},
		Services: []*messenger.Service{
			{Name: languageService, Kind: messenger.ServiceKind_LANGUAGE, Idempotent: true, MaxOutputTokens: maxOutputTokens},
			{Name: orderService, Kind: messenger.ServiceKind_APPLICATION, TokensPerCall: orderTokens},
		},
	}
	for _, a := range s.Load.Accounts {
		d.ClientAccounts = append(d.ClientAccounts, &messenger.ClientAccount{
			Name:      a.Name,
			Budget:    a.Budget,
			KeySha256: indexer.HashKey(bearerKey(a.Name)),
		})
	}
	addHosts(d, s)
	addServers(d, s)
	return d, nil
}

func bearerKey(account string) string {
	return "key-of-" + account
}

func addHosts(d *messenger.Declarations, s Setup) {
	for _, zone := range s.AvailabilityZones {
		for i := range s.HostsPerZone {
			d.Hosts = append(d.Hosts, &messenger.Host{
				Name:             fmt.Sprintf("host-%s-%d", zone, i+1),
				AvailabilityZone: zone,
			})
		}
	}
}

func addServers(d *messenger.Declarations, s Setup) {
	zone := func(i int) string { return s.AvailabilityZones[i%len(s.AvailabilityZones)] }
	for i := range s.LanguageServers {
		d.BackendServers = append(d.BackendServers, &messenger.BackendServer{
			Name:             fmt.Sprintf("engine-%d", i+1),
			Address:          fmt.Sprintf("127.0.0.1:%d", i+1),
			AvailabilityZone: zone(i),
			Service:          languageService,
			Models:           []string{model},
			Slots:            s.Slots,
		})
	}
	for i := range s.ApplicationServers {
		d.BackendServers = append(d.BackendServers, &messenger.BackendServer{
			Name:             fmt.Sprintf("order-%d", i+1),
			Address:          fmt.Sprintf("127.0.0.1:%d", s.LanguageServers+i+1),
			AvailabilityZone: zone(i),
			Service:          orderService,
		})
	}
}
