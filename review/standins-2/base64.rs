//! Standard base64 with padding.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for block in bytes.chunks(3) {
        let mut word = [0; 4];
        word[1..=block.len()].copy_from_slice(block);
        let word = u32::from_be_bytes(word);
        for place in 0..4 {
            let index = (word >> (18 - 6 * place)) & 63;
            let is_padding = place > block.len();
            text.push(if is_padding {
                '='
            } else {
                char::from(ALPHABET[index as usize])
            });
        }
    }
    text
}
