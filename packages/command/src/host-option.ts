/** The command-line option that selects a host. */

/** The `--address` option, in the format of yargs. */
export const addressOption = {
  address: {
    type: 'string',
    default: '127.0.0.1:9090',
    describe: "IP address and port of a host's operators' server",
  },
} as const;
