/** The option that names a host. */

/** Address of the operators' server of a host, as yargs takes it. */
export const addressOption = {
  address: {
    type: 'string',
    default: '127.0.0.1:9090',
    describe: "IP address and port of a host's operators' server",
  },
} as const;
