// Command operator submits configuration changes to the mesh and shows their outcomes, the configuration
// in force and the status of the mesh.
//
// Each subcommand has a constructor (newApplyCommand, newStatusCommand, ...) that declares its flags. It
// calls the operators' HTTP interface of a registry through client. The program keeps no state between
// runs, and everything runs in one goroutine.
package main
