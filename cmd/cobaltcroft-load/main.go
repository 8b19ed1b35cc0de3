// Command cobaltcroft-load makes traces, replays them and measures.
package main

import "github.com/cobaltcroft/cobaltcroft/cmd/cobaltcroft-load/cmds"

func main() { cmds.Main() }
