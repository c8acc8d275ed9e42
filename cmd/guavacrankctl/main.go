// Command guavacrankctl is the operators' command.
package main

import "os"

func main() {
	os.Exit(1)
}
