/** The help text. */
import { EXIT_CODE_HELP } from './exit-code.js';

const USAGE = `
  Usage
    $ ferryspool node --settings FILE [flags]   run a node
    $ ferryspool check FILE                     check settings or a configuration document
    $ ferryspool check --print                  print all default settings
    $ ferryspool status                         what a node holds and knows
    $ ferryspool get KIND [NAME]                list resources, or show one
    $ ferryspool watch KIND [--from CURSOR]     print changes until interrupted
    $ ferryspool apply FILE                     write resources
    $ ferryspool delete KIND NAME               delete a resource
    $ ferryspool suspicions                     requests under which endpoints ended
    $ ferryspool release FINGERPRINT            let such a request go
    $ ferryspool explain REQUEST-ID [FILE...]   what logs say of a request; reads standard input

  KIND is services, routes, endpoints or secrets. Values of secrets are never shown.

  Flags of node (they win over the settings file)
    --settings FILE          YAML or JSON settings file
    --set PATH=VALUE         any setting, for example --set lease.durationMs=8000; repeatable
    --machine-id ID          machine.id
    --machine-address IP     machine.address
    --zone ZONE              machine.zone
    --region REGION          machine.region
    --caller-port PORT       ports.caller, 0 for any free port
    --relay-port PORT        ports.relay
    --control-port PORT      ports.control
    --admin-port PORT        ports.admin
    --seed IP:PORT           a peer's control address; repeatable
    --log-level LEVEL        error, warn, info or debug

  Flags of check
    --print                  print the complete document, secrets masked

  Flags of status, get, watch, apply, delete, suspicions and release
    --address IP:PORT        admin address of a node; or FERRYSPOOL_ADDRESS
    --token TOKEN            admin token; or FERRYSPOOL_TOKEN
    --from CURSOR            watch: go on after this cursor
    --if-match VERSION       apply, delete: only at this version; * for any
    --create                 apply: only if there is no such resource

  Flags of all but node
    --json                   print JSON, one value a line where there are several

  Signals to a node
    SIGTERM, SIGINT          planned stop: nothing in flight is cut
    SIGINT twice             stop by force
`;

/** Usage, flags and exit codes. */
export function helpText(): string {
  const codes = EXIT_CODE_HELP.map(([code, meaning]) => `    ${String(code).padEnd(4)} ${meaning}`);
  return `${USAGE}\n  Exit codes\n${codes.join('\n')}\n`;
}
