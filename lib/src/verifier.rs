//! SCRAM verifiers: what the configuration holds in place of passwords.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hmac::Hmac;
use hmac::Mac;
use sha2::Digest;
use sha2::Sha256;

/// Iterations of new verifiers, as PostgreSQL makes them.
pub const ITERATIONS: u32 = 4096;

fn hmac(key: &[u8], message: &[u8]) -> Vec<u8> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC takes any key");
    mac.update(message);
    mac.finalize().into_bytes().to_vec()
}

/// Makes the verifier of a password (RFC 5802, with SHA-256).
#[must_use]
pub fn make_verifier(password: &str, salt: &[u8]) -> String {
    let salted = pbkdf2::pbkdf2_hmac_array::<Sha256, 32>(password.as_bytes(), salt, ITERATIONS);
    let client_key = hmac(&salted, b"Client Key");
    let stored_key = STANDARD.encode(Sha256::digest(&client_key));
    let server_key = STANDARD.encode(hmac(&salted, b"Server Key"));
    let salt = STANDARD.encode(salt);
    format!("SCRAM-SHA-256${ITERATIONS}:{salt}${stored_key}:{server_key}")
}

/// The parts of a verifier, still in base64: iterations, salt, stored key,
/// server key.
#[must_use]
pub fn parse_verifier(text: &str) -> Option<(usize, &str, &str, &str)> {
    let idle = text.strip_prefix("SCRAM-SHA-256$")?;
    let (iterations_and_salt, keys) = idle.split_once('$')?;
    let (iterations, salt) = iterations_and_salt.split_once(':')?;
    let (stored_key, server_key) = keys.split_once(':')?;
    let iterations = iterations.parse().ok().filter(|count| *count > 0)?;
    let complete = !salt.is_empty() && !stored_key.is_empty() && !server_key.is_empty();
    complete.then_some((iterations, salt, stored_key, server_key))
}
