package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// service and route of the configurations.
const (
	serviceName = "press"
	routeHost   = "198.18.0.1"
	routePort   = 8080
)

// configuration returns a configuration with routes to one service at consecutive ports.
func configuration(version, routes int) []byte {
	var list []map[string]any
	for i := range routes {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": routeHost, "pathPrefix": fmt.Sprintf("/%d/", routePort+i), "kind": "safe",
			"timeoutMs": 1200, "aimMs": 200, "priority": 2, "service": serviceName, "maxAttempts": 2,
		})
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{"name": serviceName, "healthPath": "/healthz", "maxConnections": 2000, "protocol": "h1", "tls": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// answer is the answer to a call; status 0 stands for none.
type answer struct {
	status int
	body   []byte
}

// call sends one request of an operator or an upstream. It gives up after a second and closes the connection then.
func call(address, method, path string, body []byte) answer {
	client := &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, data}
}

// order sends the same order to the addresses in turn until one acknowledges it.
func (f *fleet) order(path string, body []byte, limit time.Duration, addresses ...string) (acknowledged bool) {
	deadline := time.Now().Add(limit)
	pause := 100 * time.Millisecond
	for i := 0; time.Now().Before(deadline); i++ {
		a := addresses[i%len(addresses)]
		f.record.line("operator sends %s to %s", path, a)
		result := call(a, http.MethodPost, path, body)
		f.record.line("operator gets %d to %s from %s %s", result.status, path, a, strings.TrimSpace(string(result.body)))
		if result.status == http.StatusOK {
			return true
		}
		if result.status >= 400 && result.status < 500 {
			return false
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// allControls returns the addresses of all control hosts.
func (f *fleet) allControls() []string {
	var addresses []string
	for i := range f.controls {
		addresses = append(addresses, f.controlAddress(i))
	}
	return addresses
}

// keptConnection is a connection that an operator keeps for several calls.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
}

func keepConnection(address string) (*keptConnection, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &keptConnection{conn, bufio.NewReader(conn)}, nil
}

// call sends a request without a body. It gives up after a second and closes the connection then.
func (k *keptConnection) call(method, path string) answer {
	request, err := http.NewRequest(method, "http://"+k.conn.RemoteAddr().String()+path, nil)
	if err != nil {
		return answer{}
	}
	if err := k.conn.SetDeadline(time.Now().Add(operatorTimeout)); err != nil {
		return answer{}
	}
	if err := request.Write(k.conn); err != nil {
		k.conn.Close()
		return answer{}
	}
	response, err := http.ReadResponse(k.reader, request)
	if err != nil {
		k.conn.Close()
		return answer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, data}
}
