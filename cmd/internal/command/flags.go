package command

import (
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator/client"
)

// Environment variables that flags fall back to.
const (
	addressVariable = "GUAVACRANK_OPERATOR"
	tokenVariable   = "GUAVACRANK_TOKEN"
)

// defaultAddress is the operator address of examples/settings.yaml.
const defaultAddress = "127.0.0.1:20301"

// outputFlag selects text or JSON.
type outputFlag struct{ format string }

// addOutput declares -output.
func addOutput(flags *flag.FlagSet) *outputFlag {
	output := new(outputFlag)
	flags.StringVar(&output.format, "output", "text", "`format` of the output: text or json")
	return output
}

// print writes a value as JSON, or as text by the given function.
func (o *outputFlag) print(w io.Writer, value any, text func(w io.Writer)) error {
	switch o.format {
	case "json":
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case "text":
		columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		text(columns)
		return columns.Flush()
	default:
		return badUse("-output %q is neither text nor json", o.format)
	}
}

// daemonFlags say which daemon to call.
type daemonFlags struct {
	address   string
	tokenFile string
	timeout   time.Duration
}

// addDaemon declares the flags of every command that calls a daemon.
func addDaemon(flags *flag.FlagSet) *daemonFlags {
	daemon := new(daemonFlags)
	flags.StringVar(&daemon.address, "address", "", "operator `IP:port` of any daemon (default $"+addressVariable+", else "+defaultAddress+")")
	flags.StringVar(&daemon.tokenFile, "token-file", "", "`file` with the operator token (default: the token is in $"+tokenVariable+")")
	flags.DurationVar(&daemon.timeout, "timeout", client.DefaultTimeout, "limit of one call")
	return daemon
}

// connect returns a client for the daemon.
func (d *daemonFlags) connect(env *Environment) (*client.Client, error) {
	address := firstOf(d.address, env.Getenv(addressVariable), defaultAddress)
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, badUse("address %q is not an IP number and port such as %s", address, defaultAddress)
	}
	token := env.Getenv(tokenVariable)
	if d.tokenFile != "" {
		data, err := os.ReadFile(d.tokenFile)
		if err != nil {
			return nil, err
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, badUse("no operator token: set %s or give -token-file", tokenVariable)
	}
	return client.New(client.Options{Address: address, Token: token, Timeout: d.timeout}), nil
}

// firstOf returns the first text that is not empty.
func firstOf(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

// changeFlags say who changes the configuration and why.
type changeFlags struct {
	author   string
	reason   string
	changeID string
}

// addChange declares the flags of every command that changes something.
func addChange(flags *flag.FlagSet) *changeFlags {
	change := new(changeFlags)
	flags.StringVar(&change.author, "author", "", "`name` of the operator (default $USER)")
	flags.StringVar(&change.reason, "reason", "", "written reason; required")
	flags.StringVar(&change.changeID, "change-id", "", "`identifier` of a change whose outcome was unknown, to settle it")
	return change
}

// complete fills in defaults and reports what is missing.
func (c *changeFlags) complete(env *Environment) error {
	c.author = firstOf(c.author, env.Getenv("USER"))
	c.changeID = firstOf(c.changeID, rand.Text())
	if c.author == "" {
		return badUse("no author: set USER or give -author")
	}
	if strings.TrimSpace(c.reason) == "" {
		return badUse("no reason: give -reason \"why\"")
	}
	return nil
}

// maxReadBytes is just more than a configuration may have.
const maxReadBytes = config.MaxFileBytes + 1

// readFile reads a file, or standard input for "-".
func readFile(env *Environment, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(env.Stdin, maxReadBytes))
	}
	opened, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer opened.Close()
	return io.ReadAll(io.LimitReader(opened, maxReadBytes))
}

// row writes tab-separated cells.
func row(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
