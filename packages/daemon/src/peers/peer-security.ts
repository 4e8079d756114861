/** TLS credentials of the connections between hosts. */

import {X509Certificate, createPrivateKey} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {ServerCredentials, credentials} from '@grpc/grpc-js';
import type {ChannelCredentials} from '@grpc/grpc-js';
import type {
  CompleteSettings,
  HostId,
  SettingsFault,
} from '@persimmonwick/coordination';
import {hostId} from '@persimmonwick/coordination';
import {Result} from 'true-myth';

/** Security of the connections between hosts, with the contents of the files. */
export type PeerSecurity =
  | {readonly kind: 'plain'}
  | {
      readonly kind: 'mutual-tls';
      readonly certificate: Buffer;
      readonly key: Buffer;
      readonly authority: Buffer;
    };

/** Reads the files in the settings and validates the certificate of this host. */
export function loadPeerSecurity(
  settings: Pick<CompleteSettings, 'host' | 'peerSecurity'>,
): Result<PeerSecurity, SettingsFault[]> {
  const {peerSecurity} = settings;
  if (peerSecurity.kind === 'plain') return Result.ok({kind: 'plain'});
  const faults: SettingsFault[] = [];
  const read = (field: 'certificateFile' | 'keyFile' | 'authorityFile') => {
    try {
      return readFileSync(peerSecurity[field]);
    } catch (error) {
      const reason = (error as NodeJS.ErrnoException).code ?? 'unreadable';
      faults.push({
        path: `/peerSecurity/${field}`,
        value: `${peerSecurity[field]}: ${reason}`,
        expected: 'a readable PEM file',
      });
      return Buffer.alloc(0);
    }
  };
  const certificate = read('certificateFile');
  const key = read('keyFile');
  const authority = read('authorityFile');
  if (faults.length === 0)
    faults.push(
      ...findAuthorityFaults(authority),
      ...findCertificateFaults(certificate, key, settings.host),
    );
  return faults.length > 0
    ? Result.err(faults)
    : Result.ok({kind: 'mutual-tls', certificate, key, authority});
}

function findAuthorityFaults(authority: Buffer): SettingsFault[] {
  if (parseCertificate(authority) !== undefined) return [];
  const path = '/peerSecurity/authorityFile';
  return [{path, value: 'not a certificate', expected: 'a certificate in PEM'}];
}

function findCertificateFaults(
  pem: Buffer,
  key: Buffer,
  host: string,
): SettingsFault[] {
  const path = '/peerSecurity/certificateFile';
  const certificate = parseCertificate(pem);
  if (certificate === undefined)
    return [
      {path, value: 'not a certificate', expected: 'a certificate in PEM'},
    ];
  const {subject} = certificate;
  if (commonNameOf(subject) !== host) {
    const expected = `a certificate with common name ${host}`;
    return [{path, value: subject, expected}];
  }
  if (isKeyOfCertificate(certificate, key)) return [];
  const expected = 'the private key of the certificate in PEM';
  return [
    {
      path: '/peerSecurity/keyFile',
      value: 'not the private key of the certificate, or not PEM',
      expected,
    },
  ];
}

function parseCertificate(pem: Buffer): X509Certificate | undefined {
  try {
    return new X509Certificate(pem);
  } catch {
    return undefined;
  }
}

function isKeyOfCertificate(
  certificate: X509Certificate,
  key: Buffer,
): boolean {
  try {
    return certificate.checkPrivateKey(createPrivateKey(key));
  } catch {
    return false;
  }
}

function commonNameOf(subject: string): string | undefined {
  return /^CN=(.+)$/m.exec(subject)?.[1];
}

/** Server credentials, which require a certificate of the client. */
export function serverCredentialsOf(security: PeerSecurity): ServerCredentials {
  if (security.kind === 'plain') return ServerCredentials.createInsecure();
  const {authority, certificate, key} = security;
  return ServerCredentials.createSsl(
    authority,
    [{cert_chain: certificate, private_key: key}],
    true,
  );
}

/**
 * Client credentials. Peers are addressed by IP address, so the certificate is
 * verified against the host id instead of the address.
 */
export function channelCredentialsOf(
  security: PeerSecurity,
  isExpected: (commonName: HostId) => boolean,
): ChannelCredentials {
  if (security.kind === 'plain') return credentials.createInsecure();
  const {authority, certificate, key} = security;
  return credentials.createSsl(authority, key, certificate, {
    checkServerIdentity: (_name, peerCertificate) =>
      isExpected(hostId(String(peerCertificate.subject.CN)))
        ? undefined
        : new PeerCertificateError(String(peerCertificate.subject.CN)),
  });
}

/** Rejects a TLS connection to a peer whose certificate names another host. */
export class PeerCertificateError extends Error {
  constructor(readonly commonName: string) {
    super(`the certificate of the peer names another host: ${commonName}`);
  }
}
