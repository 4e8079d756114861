/** Issues certificates of a temporary authority. */

import 'reflect-metadata';
import {webcrypto} from 'node:crypto';
import {
  BasicConstraintsExtension,
  PemConverter,
  X509CertificateGenerator,
} from '@peculiar/x509';
import type {X509Certificate} from '@peculiar/x509';
import type {PeerSecurity} from '../../src/peers/index.js';

const algorithm = {name: 'ECDSA', namedCurve: 'P-256', hash: 'SHA-256'};
const notBefore = new Date(Date.now() - 86_400_000);
const notAfter = new Date(Date.now() + 86_400_000);

export interface Authority {
  issue(commonName: string): Promise<PeerSecurity>;
}

export async function createAuthority(): Promise<Authority> {
  const keys = await generateKeys();
  const root = await X509CertificateGenerator.createSelfSigned({
    name: 'CN=fleet',
    keys,
    notBefore,
    notAfter,
    signingAlgorithm: algorithm,
    extensions: [new BasicConstraintsExtension(true, 1, true)],
  });
  return {
    async issue(commonName) {
      const ownKeys = await generateKeys();
      const certificate = await X509CertificateGenerator.create({
        subject: `CN=${commonName}`,
        issuer: root.subject,
        notBefore,
        notAfter,
        publicKey: ownKeys.publicKey,
        signingKey: keys.privateKey,
        signingAlgorithm: algorithm,
      });
      return createPeerSecurity(root, certificate, ownKeys.privateKey);
    },
  };
}

async function createPeerSecurity(
  root: X509Certificate,
  certificate: X509Certificate,
  key: webcrypto.CryptoKey,
): Promise<PeerSecurity> {
  const encoded = await webcrypto.subtle.exportKey('pkcs8', key);
  return {
    kind: 'mutual-tls',
    certificate: Buffer.from(certificate.toString('pem')),
    key: Buffer.from(PemConverter.encode(encoded, 'PRIVATE KEY')),
    authority: Buffer.from(root.toString('pem')),
  };
}

function generateKeys(): Promise<webcrypto.CryptoKeyPair> {
  return webcrypto.subtle.generateKey(algorithm, true, [
    'sign',
    'verify',
  ]) as Promise<webcrypto.CryptoKeyPair>;
}
