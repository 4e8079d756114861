/**
 * Datagrams as earlier builds encoded them. They are kept as bytes, because a
 * sample that is encoded anew would follow each change of the schema.
 */

export interface RecordedDatagram {
  /** Build that encoded the datagram. */
  readonly build: string;
  readonly kind:
    'heartbeat' | 'record' | 'query' | 'reply' | 'loan request' | 'loan reply';
  readonly hexadecimal: string;
}

const heartbeatStart =
  '0a09656e7472792d612d311080bef0d1ae3350c8dc0318d401220e31302e312e302e3235' +
  '3a373630302a01613a120a07626174696e616811000000000859ff40';

const limitsAndTraits =
  '3a070a05737568617242120a08656e67696e652d31100318d24c208019420a0a06646573' +
  '6b2d3110014a220a09656e7472792d622d31120e31302e322e302e31373a3736303018b2' +
  'bef0d1ae33580e600268c0b80292011e0a08656e67696e652d3210e0b0ead1ae3318b009' +
  '220835633165303761327a170a08393162643366303610bc051a08653434303262376482' +
  '010865343430326237648a011f0a066465736b2d3110c0a3e4d1ae331801210000000000' +
  '0010402896013012';

const streamKey = '0a186b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b6b';

export const recordedDatagrams: readonly RecordedDatagram[] = [
  {
    build: '3c326d1',
    kind: 'heartbeat',
    hexadecimal:
      heartbeatStart +
      '42120a08656e67696e652d31100318d24c2080194a220a09656e7472792d622d31120e31' +
      '302e322e302e31373a3736303018b2bef0d1ae33580e600268c0b80272170a0835633165' +
      '303761321208656e67696e652d3220b0097a170a08393162643366303610bc051a086534' +
      '3430326237648201086534343032623764',
  },
  {
    build: '9a682a3',
    kind: 'heartbeat',
    hexadecimal: heartbeatStart + limitsAndTraits,
  },
  {
    build: '8d2d424',
    kind: 'heartbeat',
    hexadecimal:
      heartbeatStart +
      limitsAndTraits +
      'a2010e31302e312e302e32353a37363031aa010772657669657773',
  },
  {
    build: '8d2d424',
    kind: 'record',
    hexadecimal: `9a012b0a29${streamKey}1207726576696577731a0476312e31`,
  },
  {
    build: '8d2d424',
    kind: 'query',
    hexadecimal: '9a011e121c0807' + streamKey.replace(/^0a/, '12'),
  },
  {
    build: '8d2d424',
    kind: 'reply',
    hexadecimal: `9a012f1a2d08071229${streamKey}1207726576696577731a0476312e31`,
  },
  {
    build: '5122238',
    kind: 'heartbeat',
    hexadecimal: `${heartbeatStart}${limitsAndTraits}d801a403e201080df0113c9a108701`,
  },
  {
    build: '5122238',
    kind: 'loan request',
    hexadecimal: 'ea010b0a09080715f0113c9a183c',
  },
  {
    build: '5122238',
    kind: 'loan reply',
    hexadecimal: 'ea010612040807103c',
  },
];
