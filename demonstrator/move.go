package demonstrator

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/standin/fleet"
)

// movePlan is a small weekend move: the first availability zone's building is
// left for new hosts and backend servers in the last zone.
type movePlan struct {
	// all declares everything that ever runs; before is without the arrivals.
	all    *messenger.Declarations
	before *messenger.Declarations
	move   *messenger.Move
}

// arrivalSuffix marks the new backend servers and host.
const arrivalSuffix = "-new"

// modelSizeMb lets the weight store load a model within a step of the demo.
const modelSizeMb = 10

func planMove(d *messenger.Declarations) movePlan {
	p := movePlan{all: proto.CloneOf(d), before: d, move: &messenger.Move{Name: "weekend", State: messenger.MoveState_PLANNED}}
	for _, m := range p.all.Models {
		m.SizeMb = modelSizeMb
	}
	from := d.Hosts[0].AvailabilityZone
	to := d.Hosts[len(d.Hosts)-1].AvailabilityZone
	for _, b := range d.BackendServers {
		if b.AvailabilityZone != from {
			continue
		}
		arrival := proto.CloneOf(b)
		arrival.Name += arrivalSuffix
		arrival.AvailabilityZone = to
		p.all.BackendServers = append(p.all.BackendServers, arrival)
		p.move.LeavingBackendServers = append(p.move.LeavingBackendServers, b.Name)
		p.move.ArrivingBackendServers = append(p.move.ArrivingBackendServers, arrival.Name)
	}
	for _, h := range d.Hosts {
		if h.AvailabilityZone != from {
			continue
		}
		arrival := proto.CloneOf(h)
		arrival.Name += arrivalSuffix
		arrival.AvailabilityZone = to
		p.all.Hosts = append(p.all.Hosts, arrival)
		p.move.LeavingHosts = append(p.move.LeavingHosts, h.Name)
		p.move.ArrivingHosts = append(p.move.ArrivingHosts, arrival.Name)
	}
	return p
}

// version returns the declarations with the addresses of the running fleet,
// with or without the arrivals.
func (p movePlan) version(f *fleet.Fleet, arrivals bool) *messenger.Declarations {
	d := proto.CloneOf(f.Declarations)
	if arrivals {
		return d
	}
	d.BackendServers = slices.DeleteFunc(d.BackendServers, func(b *messenger.BackendServer) bool {
		return slices.Contains(p.move.ArrivingBackendServers, b.Name)
	})
	d.Hosts = slices.DeleteFunc(d.Hosts, func(h *messenger.Host) bool {
		return slices.Contains(p.move.ArrivingHosts, h.Name)
	})
	return d
}
