// Loaded into the hosts under test. Lets their connections come from their own address, as on a network, so
// that servers and links can tell the hosts of one machine apart, and fails new connections to servers
// while the fault file names how: `refuse`, or `hang` as in a network that drops packets.
const { readFileSync } = require('node:fs');
const { Socket } = require('node:net');
const { env } = require('node:process');

/** Address of the links to the store and the servers. */
const LINK_ADDRESS = '127.0.0.1';
/** Port of no listener. */
const CLOSED_PORT = 1;

const faultPorts = { refuse: CLOSED_PORT, hang: Number(env.SOAK_BLACK_HOLE_PORT) };

function readFaultPort() {
  try {
    return faultPorts[readFileSync(env.SOAK_FAULT_PATH, 'utf8')];
  } catch {
    return undefined;
  }
}

const { connect } = Socket.prototype;

Socket.prototype.connect = function connectFromOwnAddress(...args) {
  const [first] = args;
  const options = Array.isArray(first) ? first[0] : first;
  if (typeof options === 'object' && options.port !== undefined) {
    options.localAddress ??= env.SOAK_SOURCE_ADDRESS;
    if (options.host === LINK_ADDRESS && String(options.port) !== env.SOAK_STORE_PORT) {
      options.port = readFaultPort() ?? options.port;
    }
  }
  return connect.apply(this, args);
};
