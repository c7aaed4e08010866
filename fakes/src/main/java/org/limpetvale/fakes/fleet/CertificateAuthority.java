package org.limpetvale.fakes.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.Key;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/** Certificate authority that issues certificates with the keytool of the current Java runtime. */
public final class CertificateAuthority {
  private static final String PASSWORD = "loopback";
  private static final Base64.Encoder PEM =
      Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.US_ASCII));

  private final Path folder;

  private CertificateAuthority(Path folder) {
    this.folder = folder;
  }

  /** Creates an authority that keeps its files in a folder. */
  public static CertificateAuthority create(Path folder) throws IOException, InterruptedException {
    CertificateAuthority authority = new CertificateAuthority(folder);
    authority.keytool(
        "-genkeypair",
        "-alias",
        "ca",
        "-keyalg",
        "EC",
        "-dname",
        "CN=loopback authority",
        "-ext",
        "bc:c",
        "-validity",
        "30",
        "-keystore",
        "ca.p12");
    authority.keytool(
        "-exportcert", "-rfc", "-alias", "ca", "-keystore", "ca.p12", "-file", "ca.pem");
    return authority;
  }

  /** Returns the PEM file with the authority's certificate. */
  public Path authorityFile() {
    return folder.resolve("ca.pem");
  }

  /** Returns the PEM file with a process's certificate chain. */
  public Path certificateFile(String name) {
    return folder.resolve(name + ".pem");
  }

  /** Returns the PEM file with a process's private key. */
  public Path keyFile(String name) {
    return folder.resolve(name + ".key");
  }

  /** Issues a key and certificate to a process, replacing existing ones. */
  public void issue(String name)
      throws IOException, InterruptedException, GeneralSecurityException {
    String store = name + ".p12";
    Files.deleteIfExists(folder.resolve(store));
    keytool(
        "-genkeypair",
        "-alias",
        "self",
        "-keyalg",
        "EC",
        "-dname",
        "CN=" + name,
        "-ext",
        "san=ip:127.0.0.1",
        "-keystore",
        store);
    keytool("-certreq", "-alias", "self", "-keystore", store, "-file", name + ".csr");
    keytool(
        "-gencert",
        "-rfc",
        "-alias",
        "ca",
        "-keystore",
        "ca.p12",
        "-ext",
        "san=ip:127.0.0.1",
        "-validity",
        "30",
        "-infile",
        name + ".csr",
        "-outfile",
        name + ".crt");
    keytool("-importcert", "-noprompt", "-alias", "ca", "-keystore", store, "-file", "ca.pem");
    keytool(
        "-importcert", "-noprompt", "-alias", "self", "-keystore", store, "-file", name + ".crt");
    exportPem(name, store);
  }

  private void exportPem(String name, String store) throws IOException, GeneralSecurityException {
    KeyStore keys = KeyStore.getInstance(folder.resolve(store).toFile(), PASSWORD.toCharArray());
    Key key = keys.getKey("self", PASSWORD.toCharArray());
    StringBuilder chain = new StringBuilder();
    for (Certificate each : keys.getCertificateChain("self")) {
      chain.append(encodePem("CERTIFICATE", each.getEncoded()));
    }
    Files.writeString(keyFile(name), encodePem("PRIVATE KEY", key.getEncoded()));
    Files.writeString(certificateFile(name), chain);
  }

  private static String encodePem(String kind, byte[] bytes) {
    return "-----BEGIN "
        + kind
        + "-----\n"
        + PEM.encodeToString(bytes)
        + "\n-----END "
        + kind
        + "-----\n";
  }

  private void keytool(String... arguments) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "keytool").toString());
    command.addAll(List.of(arguments));
    command.addAll(List.of("-storepass", PASSWORD, "-storetype", "PKCS12"));
    Process process =
        new ProcessBuilder(command).directory(folder.toFile()).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (process.waitFor() != 0) {
      throw new IOException("keytool failed: " + output);
    }
  }
}
