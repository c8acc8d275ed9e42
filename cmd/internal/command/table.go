package command

// table lists every command, in the order in which help shows them. A new
// command is one row here and one file beside it.
func table() []Command {
	return []Command{
		validateCommand(),
		diffCommand(),
		applyCommand(),
		getCommand(),
		historyCommand(),
		rollbackCommand(),
		statusCommand(),
		ownersCommand(),
		explainCommand(),
		drainCommand("drain", true),
		drainCommand("undrain", false),
		declareLostCommand(),
		eventsCommand(),
		traceCommand(),
		soakCommand(),
		exploreCommand(),
		benchCommand(),
		demoCommand(),
		standinCommand(),
	}
}
