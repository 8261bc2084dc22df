package main

import (
	"context"
	"flag"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"meadowhinge/internal/errs"
	"meadowhinge/internal/options"
)

// defaultTimeout bounds a call to one registry. It exceeds the time after which a registry answers a
// change that some proxies have not acknowledged yet.
const defaultTimeout = 25 * time.Second

// newRootCommand builds the command line: the global flags, which are parsed into c, and the subcommands
// in the order in which -help lists them.
func newRootCommand(c *client) *ffcli.Command {
	flags := flag.NewFlagSet("operator", flag.ContinueOnError)
	flags.SetOutput(c.errOut)
	flags.StringVar(&c.registries, "registries", "127.0.0.1:7102", "IP:port of the registries' operator interfaces, by comma")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest wait for one registry")
	flags.BoolVar(&c.asJSON, "json", false, "print answers as they came")
	showVersion := flags.Bool("version", false, "print the version and leave")
	return &ffcli.Command{
		Name:       "operator",
		ShortUsage: "operator [flags] COMMAND",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			newStopCommand(c),
			newLiftCommand(c),
			newReleaseCommand(c),
			newCancelCommand(c),
			newReleasesCommand(c),
			newApplyCommand(c),
			newOutcomeCommand(c),
			newShowCommand(c),
			newVerdictsCommand(c),
			newWorkersCommand(c),
			newStatusCommand(c),
			newExplainCommand(c),
		},
		Exec: func(context.Context, []string) error {
			if *showVersion {
				printLine(c.out, "operator", options.Version)
				return nil
			}
			return &exitError{exitUsage, errs.New(errs.InvalidOptions, "no such command; see operator -help")}
		},
	}
}

// execFunc runs a subcommand with its positional arguments. Its error may be an exitError.
type execFunc func(ctx context.Context, args []string) error

// subcommand describes a subcommand to newCommand.
type subcommand struct {
	usage    string        // usage line: name, flags and positional arguments
	help     string        // one-line description for -help
	flags    *flag.FlagSet // named after the subcommand
	argCount int           // exact number of positional arguments
	exec     execFunc
}

// newCommand builds a subcommand, which checks the number of its positional arguments before it runs.
func newCommand(c *client, command subcommand) *ffcli.Command {
	command.flags.SetOutput(c.errOut)
	usage := "operator [flags] " + command.usage
	return &ffcli.Command{
		Name:       command.flags.Name(),
		ShortUsage: usage,
		ShortHelp:  command.help,
		FlagSet:    command.flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != command.argCount {
				return &exitError{exitUsage, errs.New(errs.InvalidOptions, "usage: "+usage)}
			}
			return command.exec(ctx, args)
		},
	}
}

// newFlags returns an empty flag set for a subcommand.
func newFlags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }
