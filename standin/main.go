// The command standin runs a stand-in engine, service, platform or server of the
// users' platform as a process.
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
)

// headerLimit bounds the time for the header of a request.
const headerLimit = 10 * time.Second

func main() {
	logger := zerolog.New(os.Stdout).With().Timestamp().Logger()
	parser := flags.NewParser(nil, flags.Default)
	add(parser, "engine", "Run a model engine", &engineCommand{logger: logger})
	add(parser, "service", "Run a plain service", &serviceCommand{logger: logger})
	add(parser, "platform", "Run the platform", &platformCommand{logger: logger})
	add(parser, "site", "Run a server of the users' platform", &siteCommand{logger: logger})
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

func add(parser *flags.Parser, name, short string, command any) {
	if _, err := parser.AddCommand(name, short, "", command); err != nil {
		panic(err)
	}
}

// serve answers requests until the process is told to end. It logs the address,
// so that port 0 can be used.
func serve(logger zerolog.Logger, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerLimit}
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
