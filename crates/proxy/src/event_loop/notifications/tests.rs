use super::*;

#[test]
fn a_notification_has_a_response_only_after_a_complete_response_head() {
    let notification = Notification {
        address: ([127, 0, 0, 1], 9).into(),
        path: "/t".into(),
        payload_type: "x",
        body: "{}".into(),
    };
    let mut delivery = NotificationDelivery::new(notification, MessageParser::responses(512, 512));
    let text = String::from_utf8(delivery.request()).unwrap();
    assert!(
        text.starts_with("POST /t HTTP/1.1\r\n") && text.ends_with("Content-Length: 2\r\n\r\n{}")
    );
    delivery.read(b"HTTP/1.1 201 Cre").unwrap();
    assert!(!delivery.has_response());
    delivery.read(b"ated\r\nContent-Length: 0\r\n\r\n").unwrap();
    assert_eq!(delivery.status, Some(201));
}
