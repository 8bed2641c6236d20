package main

import (
	"context"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"carawaycart"
)

func newProfileCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newCommand(stderr, "profile", "carawaycart profile SUBCOMMAND", "List, show and set profiles.", nil, nil,
		newStoreCommand(stdout, stderr, "list", "carawaycart profile list", "List all profiles.", 0,
			func(ctx context.Context, s *session, _ []string) error {
				c, err := s.log.Latest(ctx)
				if err != nil {
					return err
				}
				return list(s, c.Profiles, "PROFILE\tCOLD FLOWS\tCOLD REQUESTS\tWARMUP S\tDRAIN S\tREQUEST S\tQUEUE S\tRETRY %",
					func(p carawaycart.Profile) []any {
						return []any{
							p.Name, p.ColdFlows, p.ColdRequests, p.WarmupSeconds, p.DrainSeconds,
							p.RequestSeconds, p.QueueSeconds, p.RetryPercent,
						}
					})
			}),
		newShowCommand(stdout, stderr, carawaycart.KindProfile),
		newSetCommand(stdout, stderr, carawaycart.KindProfile, "name", func() any { return &carawaycart.Profile{} }),
		newDeleteCommand(stdout, stderr, carawaycart.KindProfile),
	)
}

func newServiceCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newCommand(stderr, "service", "carawaycart service SUBCOMMAND", "List, show and set services, and assign profiles.", nil, nil,
		newStoreCommand(stdout, stderr, "list", "carawaycart service list", "List all services.", 0,
			func(ctx context.Context, s *session, _ []string) error {
				c, err := s.log.Latest(ctx)
				if err != nil {
					return err
				}
				return list(s, c.Services, "SERVICE\tADDRESS\tPROFILE", func(v carawaycart.Service) []any {
					return []any{v.ID, v.Address, v.Profile}
				})
			}),
		newShowCommand(stdout, stderr, carawaycart.KindService),
		newSetCommand(stdout, stderr, carawaycart.KindService, "id", func() any { return &carawaycart.Service{} }),
		newDeleteCommand(stdout, stderr, carawaycart.KindService),
		newStoreCommand(stdout, stderr, "assign", "carawaycart service assign SERVICE PROFILE", "Assign a profile to a service.", 2,
			func(ctx context.Context, s *session, args []string) error {
				return s.printChange(s.admin.AssignProfile(ctx, carawaycart.ServiceID(args[0]), carawaycart.ProfileName(args[1])))
			}),
	)
}

func newEndpointCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newCommand(stderr, "endpoint", "carawaycart endpoint SUBCOMMAND", "List, show, set and mark endpoints.", nil, nil,
		newStoreCommand(stdout, stderr, "list", "carawaycart endpoint list", "List all endpoints.", 0,
			func(ctx context.Context, s *session, _ []string) error {
				c, err := s.log.Latest(ctx)
				if err != nil {
					return err
				}
				return list(s, c.Endpoints, "ENDPOINT\tSERVICE\tZONE\tFLOW ADDRESS\tREQUEST ADDRESS\tFLOWS\tSLOTS\tMARK",
					func(e carawaycart.Endpoint) []any {
						return []any{e.ID, e.Service, e.Zone, e.FlowAddress, e.RequestAddress, e.MaxFlows, e.RequestSlots, e.Mark}
					})
			}),
		newShowCommand(stdout, stderr, carawaycart.KindEndpoint),
		newSetCommand(stdout, stderr, carawaycart.KindEndpoint, "id", func() any { return &carawaycart.Endpoint{} }),
		newDeleteCommand(stdout, stderr, carawaycart.KindEndpoint),
		newStoreCommand(stdout, stderr, "leave", "carawaycart endpoint leave ENDPOINT", "Mark an endpoint as leaving, so that it receives no new flows or requests.", 1,
			func(ctx context.Context, s *session, args []string) error {
				return s.printChange(s.admin.MarkLeaving(ctx, carawaycart.EndpointID(args[0])))
			}),
		newStoreCommand(stdout, stderr, "stay", "carawaycart endpoint stay ENDPOINT", "Remove the mark of an endpoint.", 1,
			func(ctx context.Context, s *session, args []string) error {
				return s.printChange(s.admin.ClearMark(ctx, carawaycart.EndpointID(args[0])))
			}),
	)
}

func newZoneCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newCommand(stderr, "zone", "carawaycart zone SUBCOMMAND", "List zones, take them out of service and bring them back.", nil, nil,
		newStoreCommand(stdout, stderr, "list", "carawaycart zone list", "List all availability zones.", 0,
			func(ctx context.Context, s *session, _ []string) error {
				c, err := s.log.Latest(ctx)
				if err != nil {
					return err
				}
				return list(s, c.Zones, "ZONE\tOUT", func(z carawaycart.Zone) []any { return []any{z.ID, z.Out} })
			}),
		newStoreCommand(stdout, stderr, "add", "carawaycart zone add ZONE", "Add an availability zone.", 1,
			func(ctx context.Context, s *session, args []string) error {
				z := carawaycart.Zone{ID: carawaycart.ZoneID(args[0])}
				return s.printChange(s.admin.Put(ctx, carawaycart.KindZone, args[0], z))
			}),
		newStoreCommand(stdout, stderr, "out", "carawaycart zone out ZONE", "Take an availability zone out of service.", 1,
			func(ctx context.Context, s *session, args []string) error {
				return s.printChange(s.admin.SetZoneOut(ctx, carawaycart.ZoneID(args[0]), true))
			}),
		newStoreCommand(stdout, stderr, "in", "carawaycart zone in ZONE", "Bring an availability zone back into service.", 1,
			func(ctx context.Context, s *session, args []string) error {
				return s.printChange(s.admin.SetZoneOut(ctx, carawaycart.ZoneID(args[0]), false))
			}),
	)
}

func newShowCommand(stdout, stderr io.Writer, kind carawaycart.ObjectKind) *ffcli.Command {
	return newStoreCommand(stdout, stderr, "show", "carawaycart "+string(kind)+" show NAME", "Show an object as JSON.", 1,
		func(ctx context.Context, s *session, args []string) error { return show(ctx, s, kind, args[0]) })
}

func newDeleteCommand(stdout, stderr io.Writer, kind carawaycart.ObjectKind) *ffcli.Command {
	return newStoreCommand(stdout, stderr, "delete", "carawaycart "+string(kind)+" delete NAME", "Delete an object.", 1,
		func(ctx context.Context, s *session, args []string) error {
			return s.printChange(s.admin.Delete(ctx, kind, args[0]))
		})
}

// newSetCommand returns a command that sets fields of an object of the given kind.
// The field idField of its JSON form holds its name. newObject returns a pointer to a
// zero object.
func newSetCommand(stdout, stderr io.Writer, kind carawaycart.ObjectKind, idField string, newObject func() any) *ffcli.Command {
	flags := newFlags("set")
	var f storeFlags
	f.register(flags)
	return newCommand(stderr, "set", "carawaycart "+string(kind)+" set NAME FIELD=VALUE...",
		"Create an object or change some of its fields.", flags, func(ctx context.Context, args []string) error {
			if len(args) < 2 {
				return usagef("set: want NAME FIELD=VALUE...")
			}
			s, err := f.session(stdout)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			return setFields(ctx, s, kind, args[0], idField, args[1:], newObject())
		})
}
