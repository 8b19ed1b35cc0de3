// Command cobaltcroft-soak plays faults on real instances and checks what must always hold.
package main

import "github.com/cobaltcroft/cobaltcroft/cmd/cobaltcroft-soak/cmds"

func main() { cmds.Main() }
