// The command standin runs one stand-in of a test deployment as a process: an engine, a
// plain service, the platform, or a backend server of the users' platform.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/standin/answer"
)

// headerReadTimeout bounds the time to read the header of a request.
const headerReadTimeout = 10 * time.Second

func main() {
	logger := zerolog.New(os.Stdout).With().Timestamp().Logger()
	parser := flags.NewParser(nil, flags.Default)
	addCommand(parser, "engine", "Run a model engine", &engineCommand{logger: logger})
	addCommand(parser, "service", "Run a plain service", &serviceCommand{logger: logger})
	addCommand(parser, "platform", "Run the platform", &platformCommand{logger: logger})
	addCommand(parser, "site", "Run a server of the users' platform", &siteCommand{logger: logger})
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

func addCommand(parser *flags.Parser, name, short string, command any) {
	if _, err := parser.AddCommand(name, short, "", command); err != nil {
		panic(err)
	}
}

// serve serves HTTP requests until the process receives SIGINT or SIGTERM. It logs the
// address on which it listens, so that callers can use port 0.
func serve(logger zerolog.Logger, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout, ConnContext: answer.ConnContext}
	logger.Info().Str("address", listener.Addr().String()).Msg("listening")
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	// Open streams may last for minutes, and a stand-in has nothing to save.
	_ = server.Close()
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
