package dapplestair.keys;

import com.google.common.net.InetAddresses;
import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.security.spec.PKCS8EncodedKeySpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.List;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x500.X500NameBuilder;
import org.bouncycastle.asn1.x500.style.BCStyle;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.ExtendedKeyUsage;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.asn1.x509.KeyPurposeId;
import org.bouncycastle.asn1.x509.KeyUsage;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.openssl.jcajce.JcaPKCS8Generator;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.bouncycastle.util.io.pem.PemReader;

/** A small certificate authority that issues certificates to listeners and to operators. */
final class CertificateAuthority {
  // Certificates become valid this long before they are issued, since the clocks of operators'
  // machines may be behind this machine's clock.
  private static final Duration BACKDATING = Duration.ofHours(1);

  private final X509Certificate certificate;
  private final PrivateKey key;

  private CertificateAuthority(X509Certificate certificate, PrivateKey key) {
    this.certificate = certificate;
    this.key = key;
  }

  /** A certificate with its private key, both as PEM. */
  record IssuedCertificate(String certificatePem, String keyPem) {}

  /** Creates an authority with a new key and a self-signed certificate. */
  static CertificateAuthority create(String name, Instant now, Duration validity)
      throws GeneralSecurityException, IOException {
    KeyPair keyPair = generateKeyPair();
    X500Name ownName = new X500NameBuilder().addRDN(BCStyle.CN, name).build();
    JcaX509v3CertificateBuilder builder = createBuilder(ownName, ownName, keyPair, now, validity);
    builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(0));
    builder.addExtension(
        Extension.keyUsage, true, new KeyUsage(KeyUsage.keyCertSign | KeyUsage.cRLSign));
    return new CertificateAuthority(sign(builder, keyPair.getPrivate()), keyPair.getPrivate());
  }

  /** Reads an authority that was created earlier. */
  static CertificateAuthority read(String certificatePem, String keyPem)
      throws GeneralSecurityException, IOException {
    X509Certificate x509Certificate =
        (X509Certificate)
            CertificateFactory.getInstance("X.509")
                .generateCertificate(
                    new java.io.ByteArrayInputStream(
                        certificatePem.getBytes(java.nio.charset.StandardCharsets.US_ASCII)));
    try (PemReader pemReader = new PemReader(new java.io.StringReader(keyPem))) {
      byte[] encodedKey = pemReader.readPemObject().getContent();
      PrivateKey privateKey =
          KeyFactory.getInstance("EC").generatePrivate(new PKCS8EncodedKeySpec(encodedKey));
      return new CertificateAuthority(x509Certificate, privateKey);
    }
  }

  IssuedCertificate ownCertificate() throws IOException {
    return new IssuedCertificate(toPem(certificate), toPem(key));
  }

  /** Issues a certificate for a listener that is reached under these names and addresses. */
  IssuedCertificate issueServerCertificate(List<String> names, Instant now, Duration validity)
      throws GeneralSecurityException, IOException {
    KeyPair keyPair = generateKeyPair();
    X500Name subject = new X500NameBuilder().addRDN(BCStyle.CN, names.get(0)).build();
    JcaX509v3CertificateBuilder builder = createBuilder(issuer(), subject, keyPair, now, validity);
    GeneralName[] subjectNames =
        names.stream()
            .map(
                n ->
                    new GeneralName(
                        InetAddresses.isInetAddress(n)
                            ? GeneralName.iPAddress
                            : GeneralName.dNSName,
                        n))
            .toArray(GeneralName[]::new);
    builder.addExtension(Extension.subjectAlternativeName, false, new GeneralNames(subjectNames));
    builder.addExtension(
        Extension.extendedKeyUsage, false, new ExtendedKeyUsage(KeyPurposeId.id_kp_serverAuth));
    return new IssuedCertificate(toPem(sign(builder, key)), toPem(keyPair.getPrivate()));
  }

  /** Issues a certificate for an operator, whose role is the subject's organisational unit. */
  IssuedCertificate issueClientCertificate(String name, String role, Instant now, Duration validity)
      throws GeneralSecurityException, IOException {
    KeyPair keyPair = generateKeyPair();
    X500Name subject =
        new X500NameBuilder().addRDN(BCStyle.OU, role).addRDN(BCStyle.CN, name).build();
    JcaX509v3CertificateBuilder builder = createBuilder(issuer(), subject, keyPair, now, validity);
    builder.addExtension(
        Extension.extendedKeyUsage, false, new ExtendedKeyUsage(KeyPurposeId.id_kp_clientAuth));
    return new IssuedCertificate(toPem(sign(builder, key)), toPem(keyPair.getPrivate()));
  }

  private X500Name issuer() {
    return X500Name.getInstance(certificate.getSubjectX500Principal().getEncoded());
  }

  private static KeyPair generateKeyPair() throws GeneralSecurityException {
    KeyPairGenerator keyPairGenerator = KeyPairGenerator.getInstance("EC");
    keyPairGenerator.initialize(new ECGenParameterSpec("secp256r1"));
    return keyPairGenerator.generateKeyPair();
  }

  private static JcaX509v3CertificateBuilder createBuilder(
      X500Name issuer, X500Name subject, KeyPair keyPair, Instant now, Duration validity) {
    return new JcaX509v3CertificateBuilder(
        issuer,
        new BigInteger(127, new SecureRandom()),
        Date.from(now.minus(BACKDATING)),
        Date.from(now.plus(validity)),
        subject,
        keyPair.getPublic());
  }

  private static X509Certificate sign(JcaX509v3CertificateBuilder builder, PrivateKey signingKey)
      throws GeneralSecurityException {
    try {
      return new JcaX509CertificateConverter()
          .getCertificate(
              builder.build(new JcaContentSignerBuilder("SHA256withECDSA").build(signingKey)));
    } catch (OperatorCreationException e) {
      throw new GeneralSecurityException(e);
    }
  }

  private static String toPem(Object object) throws IOException {
    StringWriter writer = new StringWriter();
    try (JcaPEMWriter jcaPEMWriter = new JcaPEMWriter(writer)) {
      jcaPEMWriter.writeObject(
          object instanceof PrivateKey k ? new JcaPKCS8Generator(k, null) : object);
    }
    return writer.toString();
  }
}
