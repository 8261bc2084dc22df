// Command operator lets operators submit configuration changes and watch what becomes of them.
//
// Each subcommand is one constructor (newApplyCommand, newStatusCommand, ...) that declares its own
// flags and calls the operators' HTTP interface of a registry through client. The program keeps no
// state between runs and everything runs in one goroutine.
package main
