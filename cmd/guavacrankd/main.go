// Command guavacrankd is the router's daemon, one on each entry VM.
package main

import "os"

func main() {
	os.Exit(1)
}
