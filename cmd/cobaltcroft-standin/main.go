// Command cobaltcroft-standin runs small stand-ins for the platform and the endpoints.
package main

import "github.com/cobaltcroft/cobaltcroft/cmd/cobaltcroft-standin/cmds"

func main() { cmds.Main() }
