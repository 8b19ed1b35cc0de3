// Command cobaltcroftd is one entry instance of cobaltcroft.
package main

import "github.com/cobaltcroft/cobaltcroft/cmd/cobaltcroftd/cmds"

func main() { cmds.Main() }
