package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["dark-engine"] = playDarkEngine }

const (
	// deadlyPart is the part of a prompt that takes down each engine that begins to write an
	// answer on it.
	deadlyPart = "deadbeef"
	// darkTime is how long an engine is down.
	darkTime = 3 * time.Second
	// poisonTime is how long requests with the deadly part come, and poisonEach the number of
	// requests of which one has it: a share of less than 0.03.
	poisonTime = 20 * time.Second
	poisonEach = 34
	// chatGap is the time between two requests of all clients together.
	chatGap = 50 * time.Millisecond
	// knownCrashes is the number of crashes after which such requests may not reach engines.
	knownCrashes = 5
	// allowedPoison is the number of such requests that may still reach engines.
	allowedPoison = 3
)

// A darkEngine is an engine whose machine goes silent when it begins an answer on the deadly
// part: its channels stay open without a byte, and new ones are not accepted. It is back after
// darkTime under its id.
type darkEngine struct {
	engine   *engine
	store    *store
	listener *gatedListener
	server   *http.Server
	// refuses makes the engine close its channels and refuse new ones instead.
	refuses bool

	mutex sync.Mutex
	dark  bool
	// woken is closed when the engine is back.
	woken chan struct{}
}

// A crashLog has the crashes of all engines and the arrivals of deadly requests.
type crashLog struct {
	mutex    sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
}

// addDarkEngine starts an engine and writes its entry.
func (e *environment) addDarkEngine(s *store, g *engine, log *crashLog, refuses bool) (*darkEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.environment, g.address = e, listener.Addr().String()
	d := &darkEngine{engine: g, store: s, refuses: refuses}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.awaitLight(r) {
			panic(http.ErrAbortHandler)
		}
		if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart) || r.URL.Path == "/order" || r.URL.Path == "/report" || !g.holds(r.Header.Get("X-Model")) || r.Header.Get("X-Expect-Instance") != g.id {
			g.ServeHTTP(w, r)
			return
		}
		log.mutex.Lock()
		log.arrivals = append(log.arrivals, time.Now())
		log.mutex.Unlock()
		e.note("engine %s got deadly %s", g.id, r.Header.Get("X-Attempt-Id"))
		select {
		case <-time.After(g.firstEvent):
		case <-r.Context().Done():
			return
		}
		d.goDark(log)
		d.awaitLight(r)
		panic(http.ErrAbortHandler)
	})
	g.pause = func(r *http.Request) bool { return d.awaitLight(r) }
	d.listen(listener, handler)
	d.writeEntry()
	e.closes = append(e.closes, func() { _ = d.server.Close() })
	return d, nil
}

// listen serves the engine on the listener.
func (d *darkEngine) listen(listener net.Listener, handler http.Handler) {
	d.listener = &gatedListener{TCPListener: listener.(*net.TCPListener)}
	d.server = &http.Server{Handler: handler}
	server, gated := d.server, d.listener
	go func() { _ = server.Serve(gated) }()
}

// writeEntry writes the engine's entry as of a start now.
func (d *darkEngine) writeEntry() {
	g := d.engine
	d.store.set("servers", g.id, map[string]any{
		"backend": engineService, "address": g.address, "zone": g.zone, "version": "1", "slots": 64, "state": "ready", "seq": 1,
		"born": time.Now().UnixMilli(), "models": g.models(),
	})
}

// awaitLight waits while the engine is dark and reports whether it was.
func (d *darkEngine) awaitLight(r *http.Request) bool {
	d.mutex.Lock()
	dark, woken := d.dark, d.woken
	d.mutex.Unlock()
	if !dark {
		return false
	}
	<-woken
	return true
}

// goDark takes the engine down for darkTime, unless it is.
func (d *darkEngine) goDark(log *crashLog) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.dark {
		return
	}
	d.dark, d.woken = true, make(chan struct{})
	log.mutex.Lock()
	log.crashes = append(log.crashes, time.Now())
	number := len(log.crashes)
	log.mutex.Unlock()
	d.engine.environment.note("engine %s goes down, crash %d", d.engine.id, number)
	if d.refuses {
		handler := d.server.Handler
		_ = d.server.Close()
		time.AfterFunc(darkTime, func() {
			listener, err := net.Listen("tcp", d.engine.address)
			if err != nil {
				panic(err)
			}
			d.listen(listener, handler)
			d.wake()
		})
		return
	}
	d.listener.close()
	time.AfterFunc(darkTime, func() {
		d.listener.open()
		d.wake()
	})
}

// wake ends the dark time: the engine has started again.
func (d *darkEngine) wake() {
	d.writeEntry()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.dark = false
	close(d.woken)
}

// A gatedListener can stop accepting, so that the kernel drops the opening packets of new
// channels.
type gatedListener struct {
	*net.TCPListener
	mutex  sync.Mutex
	gate   chan struct{}
	filler []net.Conn
}

// Accept accepts a channel once the listener is open.
func (l *gatedListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	l.mutex.Lock()
	gate := l.gate
	l.mutex.Unlock()
	if gate != nil {
		<-gate
	}
	return conn, err
}

// setBacklog sets the number of channels that the kernel completes before they are accepted.
func (l *gatedListener) setBacklog(n int) {
	raw, err := l.TCPListener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// close stops accepting and fills the queue of the kernel.
func (l *gatedListener) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.gate = make(chan struct{})
	l.setBacklog(0)
	go func() {
		for range 8 {
			conn, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond)
			if err != nil {
				return
			}
			l.mutex.Lock()
			l.filler = append(l.filler, conn)
			l.mutex.Unlock()
		}
	}()
}

// open accepts again.
func (l *gatedListener) open() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setBacklog(1024)
	for _, conn := range l.filler {
		_ = conn.Close()
	}
	l.filler = nil
	close(l.gate)
	l.gate = nil
}

// playDarkEngine sends requests of which some have a part that takes down each engine that begins
// to write an answer on it.
func playDarkEngine(e *environment) (verdict, error) {
	s, err := e.newStore(nil)
	if err != nil {
		return verdict{}, err
	}
	s.writeDesiredState(route{name: "kurs-chat", kind: "streaming", service: engineService, priority: 1, attempts: 2, resumable: true, timeoutMs: 12000, targetMs: 600})
	zones := []string{"muc-a", "muc-b", "fra-a"}
	log := &crashLog{}
	for i := range 9 {
		held := map[string]bool{}
		for n := range 20 {
			held[fmt.Sprintf("a%d", n)] = true
		}
		g := &engine{id: fmt.Sprintf("i-%d", i+1), zone: zones[i%3], eventGap: 20 * time.Millisecond, events: 20, held: held, firstEvent: 100 * time.Millisecond}
		if _, err := e.addDarkEngine(s, g, log, refuseCrashes); err != nil {
			return verdict{}, err
		}
	}
	for i := range 3 {
		if _, err := e.addHost(fmt.Sprintf("front-%d", i+1), zones[i], s.address); err != nil {
			return verdict{}, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(6 * time.Second)
	var mutex sync.Mutex
	var group sync.WaitGroup
	sound, served := 0, 0
	began := time.Now()
	for number := 0; time.Since(began) < poisonTime+10*time.Second; number++ {
		middle, deadly := fmt.Sprintf("%x", 0x1000+number%40), false
		if e.trouble && number%poisonEach == poisonEach-1 && time.Since(began) < poisonTime {
			middle, deadly = deadlyPart, true
		}
		group.Go(func() {
			ok := e.chat(number, middle)
			if !deadly {
				mutex.Lock()
				sound++
				if ok {
					served++
				}
				mutex.Unlock()
			}
		})
		time.Sleep(chatGap)
	}
	group.Wait()
	log.mutex.Lock()
	defer log.mutex.Unlock()
	late := 0
	if len(log.crashes) >= knownCrashes {
		for _, at := range log.arrivals {
			if at.After(log.crashes[knownCrashes-1].Add(touchTime)) {
				late++
			}
		}
	}
	return verdict{broken: late > allowedPoison, text: fmt.Sprintf("%d crashes; %d deadly requests reached engines, %d of them later than touchMs after the fifth crash; %d of %d sound requests served",
		len(log.crashes), len(log.arrivals), late, served, sound)}, nil
}

// chat sends a chat, once more if it gets no answer within the client's patience or is refused,
// and reports whether it was served.
func (e *environment) chat(number int, middle string) bool {
	for try := range 2 {
		a := e.send(e.hosts[(number+try)%len(e.hosts)], fmt.Sprintf("chat-%d-%d", number, try), "POST", "/kurs-chat/1", 2400*time.Millisecond, map[string]string{
			"X-Model": fmt.Sprintf("%s/a%d", modelName, number%20), "X-Token-Counts": "826,120", "X-Deadline-Ms": "12000",
			"X-Prompt-Prefix": fmt.Sprintf("aa:119,%s:79,%x:628", middle, 0x100000+2*number+try),
		})
		if a.status == http.StatusOK && a.err == nil {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// refuseCrashes makes engines that crash close their channels and refuse new ones. It is for
// comparison only.
var refuseCrashes = os.Getenv("CRASH") == "refuse"
