// Command cobaltcroft is the operators' and callers' tool.
package main

import "github.com/cobaltcroft/cobaltcroft/cmd/cobaltcroft/cmds"

func main() { cmds.Main() }
